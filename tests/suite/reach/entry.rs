//! An entry that opens connections for requests and checks, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfield::balance::Health;
use hemlockfield::balance::Member;
use hemlockfield::balance::State;
use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::health::Observation;
use hemlockfield::id::ServiceId;
use hemlockfield::id::UpstreamId;
use hemlockfield::reach::Check;
use hemlockfield::reach::Monitor;
use hemlockfield::reach::Upstreams;
use hemlockfield::reach::Verdict;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// How long a connection that hangs is waited for.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Interval of this entry's requests that need a new connection.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
pub(super) const STEP: Duration = Duration::from_millis(5);

/// Upstreams that breakers have out; all others are sound.
#[derive(Default)]
pub(super) struct Out(pub(super) BTreeSet<UpstreamId>);

impl Health for Out {
    fn weight(&self, upstream: &str) -> f64 {
        if self.0.contains(upstream) { 0.0 } else { 1.0 }
    }
}

/// What becomes of a connection to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    Hang,
    Open,
    Reset,
}

/// An entry that opens connections for requests and checks, in virtual time.
pub(super) struct Entry {
    pub(super) members: Vec<Member>,
    pub(super) monitor: Monitor,
    pub(super) now: Moment,
    /// Attempts that hang, with their starts.
    hanging: Vec<(Moment, Check)>,
    pub(super) opened: usize,
    pub(super) out: Out,
    random: ChaCha8Rng,
    pub(super) reports: Vec<(Moment, BTreeMap<ServiceId, Verdict>)>,
    request_at: Moment,
    /// Failures that turned out to be evidence about their upstreams.
    pub(super) released: Vec<Observation>,
}

pub(super) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(super) fn service() -> ServiceId {
    "hull".into()
}

pub(super) fn members(count: usize, domains: usize) -> Vec<Member> {
    let member = |at: usize| Member {
        connections: 400,
        domain: compact_str::format_compact!("domain-{}", at % domains),
        incarnation: 0,
        slots: 4,
        state: State::Ready,
        upstream: compact_str::format_compact!("hull-{at}"),
    };
    (0..count).map(member).collect()
}

pub(super) fn failure(check: &Check, kind: Kind, latency: Duration) -> Observation {
    let (service, upstream) = (check.service.clone(), check.upstream.clone());
    Observation { is_trial: false, kind, latency, service, upstream }
}

impl Entry {
    pub(super) fn new(seed: u64, count: usize, domains: usize) -> Self {
        Self {
            members: members(count, domains),
            monitor: Monitor::new(ChaCha8Rng::seed_from_u64(seed)),
            now: secs(1),
            hanging: Vec::new(),
            opened: 0,
            out: Out::default(),
            random: ChaCha8Rng::seed_from_u64(seed + 1),
            reports: Vec::new(),
            request_at: Moment::ZERO,
            released: Vec::new(),
        }
    }

    /// Runs until `until`; `fate` tells what becomes of connections. Requests arrive unless
    /// `is_idle`.
    pub(super) fn run(
        &mut self,
        until: Moment,
        is_idle: bool,
        fate: impl Fn(Moment, &str) -> Fate,
    ) {
        while self.now < until {
            self.now += STEP;
            let given_up = self.hanging.extract_if(.., |(at, _)| *at + CONNECT_LIMIT <= self.now);
            for (started, check) in given_up.collect::<Vec<_>>() {
                self.fail(started, &check);
            }
            let mut starts = Vec::new();
            if !is_idle && self.now >= self.request_at {
                self.request_at = self.now + REQUEST_INTERVAL;
                let at = self.random.random_range(0..self.members.len());
                let upstream = self.members[at].upstream.clone();
                starts.push(Check { service: service(), upstream });
            }
            let upstreams = Upstreams { members: &self.members, health: &self.out };
            starts.extend(self.monitor.checks(self.now, |_| Some(upstreams)));
            for check in starts {
                match fate(self.now, &check.upstream) {
                    Fate::Hang => self.hanging.push((self.now, check)),
                    Fate::Open => self.open(&check),
                    Fate::Reset => self.fail(self.now, &check),
                }
            }
            let report = self.monitor.report(self.now);
            self.reports.extend(report.map(|verdicts| (self.now, verdicts)));
        }
    }

    fn open(&mut self, check: &Check) {
        self.opened += 1;
        let upstreams = Upstreams { members: &self.members, health: &self.out };
        self.released.extend(self.monitor.record_opened(self.now, self.now, check, upstreams));
    }

    /// Breaks requests on open connections to this many upstreams.
    pub(super) fn break_connections(&mut self, count: usize) {
        for member in &self.members[..count] {
            let check = Check { service: service(), upstream: member.upstream.clone() };
            let broken = failure(&check, Kind::Cut, ms(200));
            self.released.extend(self.monitor.judge(self.now, broken));
        }
    }

    pub(super) fn fail(&mut self, started: Moment, check: &Check) {
        let upstreams = Upstreams { members: &self.members, health: &self.out };
        self.monitor.record_failed(self.now, started, check, upstreams);
        let observation = failure(check, Kind::ConnectFailed, self.now - started);
        self.released.extend(self.monitor.judge(self.now, observation));
    }

    pub(super) fn is_lost(&self) -> bool {
        self.monitor.is_lost(&service())
    }
}

pub(super) fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}
