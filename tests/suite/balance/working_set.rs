//! Upstreams that an entry uses of a service with far more than it needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hemlockfield::balance::Completion;
use hemlockfield::balance::Coverage;
use hemlockfield::balance::Health;
use hemlockfield::balance::Member;
use hemlockfield::balance::Pick;
use hemlockfield::balance::Picker;
use hemlockfield::balance::Request;
use hemlockfield::balance::Setup;
use hemlockfield::balance::State;
use hemlockfield::health::Kind;
use hemlockfield::id::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::DOMAINS;
use super::ready;

/// Entries that callers are told of.
const ENTRIES: usize = 60;
/// Upstreams that the entry follows, a quarter of them near.
const UPSTREAMS: usize = 1_400;
/// Upstreams of the service that stand behind those.
const COVERAGE: Coverage = Coverage { near: 4.0, far: 8.0 };
/// Interval between two requests of the entry.
const INTERVAL: Duration = Duration::from_millis(40);
/// One request in five can be repeated.
const LOOKUP_INTERVAL: usize = 5;
const LATENCY: Duration = Duration::from_millis(450);
/// Share of requests that a faulty upstream loses, and how many are faulty at any time.
const LOST_SHARE: f64 = 0.85;
const FAULTY_SHARE: f64 = 0.3;
/// Duration of a fault.
const FAULT: Duration = Duration::from_secs(3);

/// Time for which an upstream that lost a request is out.
const OUT: Duration = Duration::from_secs(4);

/// Upstreams that this entry takes for faulty, each with the time until which it does.
#[derive(Default)]
struct Verdicts(BTreeMap<UpstreamId, Duration>);

impl Health for Verdicts {
    fn weight(&self, upstream: &str) -> f64 {
        if self.0.contains_key(upstream) { 0.0 } else { 1.0 }
    }
}

/// An entry that gets a request every 40 ms.
struct World {
    in_flight: Vec<(Duration, Pick)>,
    lost: usize,
    now: Duration,
    picker: Picker,
    random: ChaCha8Rng,
    /// Share of requests that any upstream refuses.
    refused_share: f64,
    sent: usize,
    used: BTreeSet<UpstreamId>,
    verdicts: Verdicts,
}

impl World {
    /// An entry that follows `upstreams` of a service.
    fn new(seed: u64, upstreams: usize, coverage: Coverage) -> Self {
        let setup = Setup::new("entry".into(), DOMAINS[0].into(), ENTRIES);
        let setup = Setup { local: true, ..setup };
        let mut picker = Picker::new(setup, ChaCha8Rng::seed_from_u64(seed));
        picker.set_members(&ready(upstreams));
        picker.set_coverage(coverage);
        Self {
            in_flight: Vec::new(),
            lost: 0,
            now: Duration::ZERO,
            picker,
            random: ChaCha8Rng::seed_from_u64(seed + 1),
            refused_share: 0.0,
            sent: 0,
            used: BTreeSet::new(),
            verdicts: Verdicts::default(),
        }
    }

    /// Sends requests for `span`; `faulty` tells which upstreams are faulty at a time. These reset
    /// the connection at once.
    fn run(&mut self, span: Duration, faulty: impl Fn(Duration, &str) -> bool) {
        let end = self.now + span;
        while self.now < end {
            self.complete();
            let is_repeatable = self.sent.is_multiple_of(LOOKUP_INTERVAL);
            let request = Request { is_repeatable, ..Request::default() };
            let pick = self.picker.pick(self.now, &request).expect("room");
            self.used.insert(pick.upstream.clone());
            self.sent += 1;
            if self.random.random_bool(self.refused_share) {
                self.finish(&pick, Kind::Refused, Duration::ZERO);
            } else if faulty(self.now, &pick.upstream) && self.random.random_bool(LOST_SHARE) {
                self.lose(pick);
            } else {
                self.in_flight.push((self.now + LATENCY, pick));
            }
            self.now += INTERVAL;
        }
    }

    fn complete(&mut self) {
        let now = self.now;
        let (done, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        for (_, pick) in done {
            self.finish(&pick, Kind::Success, LATENCY);
        }
        self.verdicts.0.retain(|_, until| now < *until);
        self.picker.refresh(now, &self.verdicts);
    }

    fn lose(&mut self, pick: Pick) {
        self.lost += 1;
        self.finish(&pick, Kind::Cut, Duration::ZERO);
        self.verdicts.0.insert(pick.upstream, self.now + OUT);
    }

    fn finish(&mut self, pick: &Pick, kind: Kind, latency: Duration) {
        self.picker.finish(self.now, pick.ticket, Completion { kind, latency, report: None });
    }
}

/// Whether an upstream has a fault at a time. One in twenty has, each for six seconds.
fn is_faulty(now: Duration, upstream: &str) -> bool {
    let period = (FAULT.as_secs_f64() / FAULTY_SHARE) as u64;
    let offset = xxhash_rust::xxh3::xxh3_64(upstream.as_bytes()) % period;
    (now.as_secs() + offset) % period < FAULT.as_secs()
}

// Three in ten of 350 near upstreams are faulty at any time, each for three seconds, and an entry
// sends 25 requests per second. Spread over all of them, one request in four meets a fault that
// nobody has seen. Of a few upstreams in use, each fault costs a request or two.
#[rstest]
fn pick_faults_among_many(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = World::new(seed, UPSTREAMS, COVERAGE);
    world.run(Duration::from_secs(120), is_faulty);
    let spread = world.sent as f64 * FAULTY_SHARE * LOST_SHARE;
    assert!((world.lost as f64) < 0.4 * spread, "{} lost, {spread:.0} if spread", world.lost);
}

// All upstreams refuse 55% of their requests for eight seconds, and three in ten are faulty besides.
// An entry that turns to unknown upstreams for it loses a quarter of what they take, and has no proven
// ones when the refusals end.
#[rstest]
fn pick_all_refuse(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = World::new(seed, UPSTREAMS, COVERAGE);
    world.run(Duration::from_secs(10), is_faulty);
    world.refused_share = 0.55;
    world.run(Duration::from_secs(8), is_faulty);
    world.refused_share = 0.0;
    let (sent, lost) = (world.sent, world.lost);
    world.run(Duration::from_secs(20), is_faulty);
    let spread = (world.sent - sent) as f64 * FAULTY_SHARE * LOST_SHARE;
    let lost = world.lost - lost;
    assert!((lost as f64) < 0.4 * spread, "{lost} lost, {spread:.0} if spread");
}

// Upstreams start while the entry needs none of them. Each gets a request soon, which shows
// whether it serves.
#[test]
fn pick_upstreams_start() {
    let mut world = World::new(1, UPSTREAMS, COVERAGE);
    world.run(Duration::from_secs(10), |_, _| false);
    let until = Duration::from_secs(60);
    let started = |number: usize| Member {
        upstream: compact_str::format_compact!("new-{number}"),
        state: State::Warm { since: Duration::from_secs(10), until },
        ..ready(1).remove(0)
    };
    let mut members = ready(UPSTREAMS);
    members.extend((0..8).map(started));
    world.picker.set_members(&members);
    world.used.clear();
    world.run(Duration::from_secs(10), |_, _| false);
    let new = world.used.iter().filter(|id| id.starts_with("new-")).count();
    assert_eq!(new, 8);
}

// A service has as many upstreams as its requests need. All of them are used, as without a
// working set.
#[test]
fn pick_few_upstreams() {
    let mut world = World::new(1, 160, Coverage::default());
    world.run(Duration::from_secs(20), |_, _| false);
    let near = world.used.iter().filter(|id| id[1..].parse::<usize>().is_ok_and(|at| at % 4 == 0));
    assert!(near.count() >= 38, "{}", world.used.len());
}

// A service gets no request that can be repeated, and its faulty upstreams come back only by trials
// of others. If none were made while upstreams are to spare, all would be out in the end.
#[test]
fn has_spare_half_out() {
    let mut world = World::new(1, UPSTREAMS, COVERAGE);
    world.run(Duration::from_secs(1), |_, _| false);
    assert!(world.picker.has_spare());
    let near = ready(UPSTREAMS).into_iter().filter(|member| member.domain == DOMAINS[0]);
    let out = near.take(UPSTREAMS / 4 / 2 + 1).map(|member| (member.upstream, Duration::MAX));
    world.verdicts.0.extend(out);
    world.picker.refresh(world.now, &world.verdicts);
    assert!(!world.picker.has_spare());
}
