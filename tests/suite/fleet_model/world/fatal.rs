//! Upstreams that end, under a fatal request or at random, with all that is in flight there.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::node::core::Input;
use hemlockfield::poison::Decision as PoisonDecision;
use hemlockfield::poison::Evidence;
use hemlockfield::poison::Fingerprint;
use hemlockfield::poison::Identity;
use hemlockfield::poison::Scope;
use rand::Rng;

use super::Event;
use super::LATENCY;
use super::Request;
use super::World;
use super::upstream_name;

/// A request under which upstreams end, which comes again and again.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet_model) struct Fatal {
    /// Below `FATAL_MAX`.
    pub(in crate::fleet_model) fingerprint: Fingerprint,
    pub(in crate::fleet_model) service: usize,
    pub(in crate::fleet_model) gap: Duration,
    pub(in crate::fleet_model) until: Moment,
}

/// Fingerprints of fatal requests lie below it.
const FATAL_MAX: Fingerprint = 10;
/// Requests that come again and again, and their share of all.
const HOT: std::ops::Range<Fingerprint> = 11..16;
const HOT_SHARE: f64 = 0.3;
/// Part of the fingerprint of a path.
const PATH: Fingerprint = 1 << 62;
/// How long an upstream is away once it has ended.
const AWAY: Duration = Duration::from_secs(2);
/// How long a fatal request runs.
const FATAL_WORK: Duration = Duration::from_millis(15);
/// Time in which an entry finds that it can't connect any more.
const CHECK: Duration = Duration::from_millis(5);
/// Upstreams that a request may end, and the time in which all entries learn of it.
const ENDS_MAX: usize = 3;
const REACH: Duration = Duration::from_secs(3);

/// What was seen of requests under which upstreams end.
#[derive(Clone, Debug, Default)]
pub(in crate::fleet_model) struct Seen {
    /// When upstreams ended.
    pub(in crate::fleet_model) ends: Vec<Moment>,
    /// When upstreams ended under each fatal request, and when it arrived.
    fatal: BTreeMap<Fingerprint, (Vec<Moment>, Vec<Moment>)>,
    /// Other requests that were refused as fatal.
    pub(in crate::fleet_model) innocent: usize,
}

impl Seen {
    /// Most times that a fatal request arrived after all entries have learned that it ends upstreams.
    pub(in crate::fleet_model) fn late(&self) -> usize {
        let late = self.fatal.values().map(|(ends, arrivals)| {
            let third = ends.get(ENDS_MAX - 1);
            let is_late = |at: &&Moment| third.is_some_and(|third| **at > *third + REACH);
            arrivals.iter().filter(is_late).count()
        });
        late.max().unwrap_or(0)
    }

    /// Upstreams that ended under the fatal request that ended fewest.
    pub(in crate::fleet_model) fn least_ended(&self) -> usize {
        self.fatal.values().map(|(ends, _)| ends.len()).min().unwrap_or(0)
    }
}

impl World {
    /// What the next request has in common with others.
    pub(super) fn identity(&self, fingerprint: Fingerprint) -> Identity {
        let caller = 1 + self.requests.len() as u64 % self.plan.callers;
        Identity::new([caller << 32 | fingerprint, fingerprint, PATH | fingerprint])
    }

    pub(super) fn draw_fingerprint(&mut self) -> Fingerprint {
        let is_hot = self.random.random_bool(HOT_SHARE);
        if is_hot { self.random.random_range(HOT) } else { 1_000 + self.requests.len() as u64 }
    }

    /// A fatal request comes to some entry, until a time.
    pub(super) fn call_fatal(&mut self, fatal: Fatal) {
        if self.now < fatal.until {
            self.at(self.now + fatal.gap, Event::Fatal(fatal));
        }
        self.request(fatal.service, true, fatal.fingerprint);
    }

    /// Whether an entry refuses a request as fatal.
    pub(super) fn is_refused(&mut self, number: usize) -> bool {
        let Request { entry, fingerprint, identity, .. } = self.requests[number];
        let Some(running) = &self.processes[entry] else { return false };
        let verdict = running.view.poison.decide(self.now, &identity, |_, _| false);
        let is_refused = matches!(verdict, PoisonDecision::Refuse { .. });
        self.seen.innocent += usize::from(is_refused && fingerprint >= FATAL_MAX);
        is_refused
    }

    pub(super) fn allows_retry(&self, number: usize) -> bool {
        let Request { entry, identity, .. } = self.requests[number];
        let running = self.processes[entry].as_ref();
        running.is_none_or(|running| running.view.poison.allows_retry(&identity))
    }

    /// Reports a whole answer to a suspected request.
    pub(super) fn note_answer(&mut self, number: usize) {
        let Request { entry, identity, .. } = self.requests[number];
        let Some(running) = &self.processes[entry] else { return };
        if running.view.poison.is_suspected(&identity) {
            self.input(entry, Input::Poison(Evidence::of_answer(identity)));
        }
    }

    pub(super) fn is_away(&self, upstream: usize) -> bool {
        self.away_until.get(&upstream).is_some_and(|until| self.now < *until)
    }

    /// Ends an upstream some time after a fatal request arrived.
    pub(super) fn note_arrival(&mut self, attempt: usize) {
        let (request, upstream) = (self.attempts[attempt].request, self.attempts[attempt].upstream);
        self.in_flight.entry(upstream).or_default().insert(attempt);
        let fingerprint = self.requests[request].fingerprint;
        if fingerprint < FATAL_MAX {
            self.seen.fatal.entry(fingerprint).or_default().1.push(self.now);
            self.at(self.now + FATAL_WORK, Event::Die(upstream, Some(fingerprint)));
        }
    }

    /// An upstream ends, or resets its connections if it does not.
    pub(super) fn die(&mut self, upstream: usize, under: Option<Fingerprint>) {
        if self.is_away(upstream) {
            return;
        }
        self.away_until.insert(upstream, self.now + AWAY);
        self.seen.ends.push(self.now);
        if let Some(fingerprint) = under {
            self.seen.fatal.entry(fingerprint).or_default().0.push(self.now);
        }
        let mut suspects: BTreeMap<usize, Vec<Identity>> = BTreeMap::new();
        for attempt in self.break_connections(upstream) {
            let (entry, request) = (self.attempts[attempt].entry, self.attempts[attempt].request);
            suspects.entry(entry).or_default().push(self.requests[request].identity);
        }
        for (entry, suspects) in suspects {
            let evidence = Evidence::of_crash(Scope::Upstream(upstream_name(upstream)), suspects);
            self.at(self.now + LATENCY + CHECK, Event::Evidence(entry, evidence));
        }
    }

    /// Breaks all connections of an upstream; returns the attempts that were in flight.
    pub(super) fn break_connections(&mut self, upstream: usize) -> Vec<usize> {
        let broken = self.in_flight.remove(&upstream).unwrap_or_default();
        self.upstreams[upstream].restart();
        broken.iter().for_each(|it| self.at(self.now + LATENCY, Event::Finish(*it, Kind::Cut)));
        broken.into_iter().collect()
    }
}
