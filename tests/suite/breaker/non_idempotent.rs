//! Simulation of a service with mostly non-idempotent requests, over many entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockfield::balance::Rank;
use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::health::Kind;
use hemlockfield::id::DomainId;
use hemlockfield::id::NodeId;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::circuit::ms;

const ENTRIES: usize = 120;
const UPSTREAMS: usize = 70;
/// Requests in each step.
const REQUESTS_PER_STEP: usize = 2;
const STEP_MS: u64 = 10;
/// Time until another entry receives an outcome, drawn for each entry.
const PROPAGATION_MS: std::ops::Range<u64> = 30..110;
/// Interval between two ticks of an entry's breakers.
const TICK_INTERVAL_MS: u64 = 30;
/// A fault breaks 17 of 20 answers, for seven seconds in every 23.
const FAULT_MS: u64 = 7_000;
const FAULT_PERIOD_MS: u64 = 23_000;
const FAULT_LOSS_SHARE: f64 = 0.85;
/// A request without an answer counts as overdue after the first time, and its caller gives up
/// after the second.
const OVERDUE_MS: u64 = 1_000;
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// An upstream counts as sound this long after its last broken answer.
const SOUND_AFTER_MS: u64 = 2_000;
const RECENT_MS: u64 = 2_000;
/// Highest allowed share of sound upstreams without requests.
const IDLE_SHARE_MAX: f64 = 0.3;
/// Share of lost requests that counts as many.
const HIGH_LOSS_SHARE: f64 = 0.1;
/// Share of answers lost by an upstream with a weak link, for the whole run.
const WEAK_LINK_LOSS_SHARE: f64 = 0.3;

fn name(at: usize) -> compact_str::CompactString {
    compact_str::format_compact!("desk-{at:02}")
}

/// Rank of an entry for an upstream; callers are told of all entries.
fn rank(entry: usize, upstream: usize) -> Rank {
    let ids: Vec<NodeId> = (0..ENTRIES).map(|at| compact_str::format_compact!("e{at}")).collect();
    let domain = DomainId::default();
    Rank::of(&ids[entry], ids.iter().map(|id| (id, &domain)), &name(upstream), &domain)
}

/// Share of upstreams with a weak link that leaves about eight sound ones.
const WEAK_LINK_SHARE: f64 = 0.7;
/// Share of slow requests where there are any, and their latency.
const SLOW_SHARE: f64 = 0.015;
const SLOW_LATENCY_MS: std::ops::Range<u64> = 1_200..1_900;

/// What a faulty upstream does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Cuts,
    Hangs,
}

/// An outcome at one upstream on its way to one entry.
struct Message {
    entry: usize,
    is_own: bool,
    counts: Counts,
    upstream: usize,
}

struct Simulation {
    broken_at: Vec<u64>,
    fault: Fault,
    messages: BTreeMap<u64, Vec<Message>>,
    /// Share of idempotent requests.
    idempotent_share: f64,
    lost: usize,
    lost_at: Vec<u64>,
    /// Number of upstreams with a weak link; these are the first ones.
    weak_links: usize,
    groups: Vec<Group>,
    phases: Vec<u64>,
    random: ChaCha8Rng,
    /// Share of slow requests.
    slow: f64,
    served_at: Vec<u64>,
    made_trials: Vec<BTreeSet<u64>>,
}

impl Simulation {
    fn new(fault: Fault, idempotent_share: f64, weak_links: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let group = |at| {
            let mut group = Group::new(0.5);
            (0..UPSTREAMS).for_each(|at| group.join(name(at), 3));
            (0..UPSTREAMS).for_each(|it| group.set_rank(&name(it), rank(at as usize, it)));
            group
        };
        Self {
            broken_at: vec![0; UPSTREAMS],
            fault,
            messages: BTreeMap::new(),
            idempotent_share,
            lost: 0,
            lost_at: Vec::new(),
            weak_links: (UPSTREAMS as f64 * weak_links) as usize,
            groups: (0..ENTRIES as u64).map(group).collect(),
            phases: (0..UPSTREAMS).map(|_| random.random_range(0..FAULT_PERIOD_MS)).collect(),
            random,
            slow: 0.0,
            served_at: vec![0; UPSTREAMS],
            made_trials: vec![BTreeSet::new(); ENTRIES],
        }
    }

    fn is_bad(&self, now: u64, upstream: usize) -> bool {
        (now + self.phases[upstream]) % FAULT_PERIOD_MS < FAULT_MS
    }

    fn step(&mut self, now: u64) {
        while let Some(first) = self.messages.first_entry().filter(|first| *first.key() <= now) {
            for message in first.remove() {
                self.receive(now, &message);
            }
        }
        for (entry, group) in self.groups.iter_mut().enumerate() {
            if (now + entry as u64 * STEP_MS).is_multiple_of(TICK_INTERVAL_MS) {
                group.tick(ms(now));
            }
        }
        (0..REQUESTS_PER_STEP).for_each(|_| self.request(now));
    }

    fn receive(&mut self, now: u64, message: &Message) {
        let group = &mut self.groups[message.entry];
        let upstream = name(message.upstream);
        if !message.is_own {
            group.record(ms(now), &upstream, &message.counts);
            return;
        }
        let changed = group.record_own(ms(now), &upstream, &message.counts);
        let cleared = u32::from(changed && group.was_cleared(&upstream));
        let counts = Counts { cleared, ..message.counts };
        for entry in (0..ENTRIES).filter(|entry| *entry != message.entry) {
            let at = now + self.random.random_range(PROPAGATION_MS);
            let copy = Message { entry, is_own: false, counts, ..*message };
            self.messages.entry(at).or_default().push(copy);
        }
    }

    fn request(&mut self, now: u64) {
        let entry = self.random.random_range(0..ENTRIES);
        let is_idempotent = self.random.random_bool(self.idempotent_share);
        let Some((upstream, is_trial)) = self.choose(entry, is_idempotent) else { return };
        let is_fault = self.is_bad(now, upstream) && self.random.random_bool(FAULT_LOSS_SHARE);
        let is_link_loss =
            upstream < self.weak_links && self.random.random_bool(WEAK_LINK_LOSS_SHARE);
        let is_lost = is_fault || is_link_loss;
        self.served_at[upstream] = now;
        if is_trial {
            self.tell_begun(now, entry, upstream);
        }
        if is_lost {
            self.broken_at[upstream] = now;
            self.lost += 1;
            self.lost_at.push(now);
        }
        let counts = |kind, took: u64| match is_trial {
            true => Counts::from_trial(kind, ms(took)),
            false => Counts::from_outcome(kind, ms(took)),
        };
        let fault = if is_fault { self.fault } else { Fault::Cuts };
        let overdue = Counts { hung: 1, overdue: 1, waited: OVERDUE_MS, ..Counts::default() };
        let is_slow = self.slow > 0.0 && self.random.random_bool(self.slow);
        let seen = match (is_lost, fault) {
            (false, _) if is_slow => {
                let took = self.random.random_range(SLOW_LATENCY_MS);
                vec![(now + OVERDUE_MS, overdue), (now + took, counts(Kind::Success, took))]
            }
            (false, _) => vec![(now + 300, counts(Kind::Success, 300))],
            (true, Fault::Cuts) => vec![(now + 300, counts(Kind::Cut, 300))],
            (true, Fault::Hangs) => {
                let end = counts(Kind::Timeout, CALLER_TIMEOUT_MS);
                vec![(now + OVERDUE_MS, overdue), (now + CALLER_TIMEOUT_MS, end)]
            }
        };
        for (at, counts) in seen {
            let message = Message { entry, is_own: true, counts, upstream };
            self.messages.entry(at).or_default().push(message);
        }
    }

    /// Tells all entries that one of them began a trial.
    fn tell_begun(&mut self, now: u64, entry: usize, upstream: usize) {
        self.groups[entry].begin_trial(ms(now), &name(upstream));
        let counts = Counts::from_trial_start();
        for entry in (0..ENTRIES).filter(|other| *other != entry) {
            let at = now + self.random.random_range(PROPAGATION_MS);
            let message = Message { entry, is_own: false, counts, upstream };
            self.messages.entry(at).or_default().push(message);
        }
    }

    fn choose(&mut self, entry: usize, is_idempotent: bool) -> Option<(usize, bool)> {
        let trials = self.groups[entry].trials();
        let due = trials.iter().filter(|trial| trial.allows_any || is_idempotent);
        let fresh = due.into_iter().find(|trial| self.made_trials[entry].insert(trial.number));
        if let Some(trial) = fresh {
            return (0..UPSTREAMS).find(|at| name(*at) == trial.upstream).map(|at| (at, true));
        }
        let weights = self.groups[entry].weights();
        let suspects = self.groups[entry].suspects();
        let is_out = |at: &usize| weights.get(&name(*at)) == Some(&0.0);
        let in_use = (0..UPSTREAMS).filter(|at| !is_out(at) && !suspects.contains(&name(*at)));
        in_use.choose(&mut self.random).map(|at| (at, false))
    }

    /// Whether many requests were lost recently.
    fn loses_many(&self, now: u64) -> bool {
        let lost = self.lost_at.iter().rev().take_while(|at| now < **at + RECENT_MS).count();
        lost as f64 > HIGH_LOSS_SHARE * (RECENT_MS / STEP_MS) as f64 * REQUESTS_PER_STEP as f64
    }

    /// Number of sound upstreams, and of those among them that got no request recently.
    fn sound(&self, now: u64) -> (usize, usize) {
        let long = SOUND_AFTER_MS + RECENT_MS;
        let was_bad =
            |at: &usize| (0..long / STEP_MS).any(|back| self.is_bad(now - back * STEP_MS, *at));
        let broke = |at: &usize| now < self.broken_at[*at] + long;
        let upstreams = self.weak_links..UPSTREAMS;
        let sound: Vec<usize> = upstreams.filter(|at| !was_bad(at) && !broke(at)).collect();
        let idle = sound.iter().filter(|at| now >= self.served_at[**at] + RECENT_MS).count();
        (sound.len(), idle)
    }
}

// A third of 70 upstreams break most answers at any time, and no request is idempotent, so that
// nothing can be retried elsewhere after a failed trial. Upstreams that have recovered must get
// requests: kept out for 4.5 s to 18 s, a third of the sound ones had none, and queues grew at
// the others.
//
// Entries hear of each other's trials, and update their breakers, at different times; a fault
// that hangs requests shows a second later, and again when the caller gives up. A few requests
// may be idempotent, too few to make all trials. None of that may keep sound upstreams out while
// one request in ten is lost, as when the links of six in ten upstreams lose answers.
#[rstest]
fn trials_mostly_non_idempotent(
    #[values(Fault::Cuts, Fault::Hangs)] fault: Fault,
    #[values(0.0, 0.02)] idempotent_share: f64,
    #[values(0.0, 0.6)] weak_links: f64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut simulation = Simulation::new(fault, idempotent_share, weak_links, seed);
    let mut worst: f64 = 0.0;
    let seconds = 45;
    for now in (0..seconds * 1_000).step_by(STEP_MS as usize) {
        simulation.step(now);
        if now > 8_000 && now % 500 == 0 {
            let (sound, idle) = simulation.sound(now);
            if simulation.loses_many(now) || idempotent_share == 0.0 && weak_links == 0.0 {
                worst = worst.max(idle as f64 / sound as f64);
            }
        }
    }
    assert!(worst <= IDLE_SHARE_MAX, "{worst:.2} of the sound upstreams got no request");
    let share = simulation.lost as f64
        / (seconds as f64 * 1_000.0 / STEP_MS as f64 * REQUESTS_PER_STEP as f64);
    if fault == Fault::Cuts && weak_links == 0.0 {
        assert!(share <= 0.08, "{share:.3} of the requests are lost");
    }
}

// One request in seventy is answered in full only after one to two seconds. Counted as hung after
// one second, it took its upstream out until a trial succeeded seconds later. With weak links to
// most upstreams, up to three of eight sound ones had no requests for that, while one request in
// five failed.
#[rstest]
fn trials_slow_answers(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut simulation = Simulation::new(Fault::Cuts, 0.0, WEAK_LINK_SHARE, seed);
    simulation.slow = SLOW_SHARE;
    check_idle(&mut simulation);
}

// Losses rise within a second from few to many. Upstreams that were out without trials while
// losses were low must get requests at once, not seconds later.
#[rstest]
fn trials_losses_rise(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    check_idle(&mut Simulation::new(Fault::Cuts, 0.0, WEAK_LINK_SHARE, seed));
}

/// Runs the simulation; whenever many requests are lost, most sound upstreams must get some.
fn check_idle(simulation: &mut Simulation) {
    let mut worst: f64 = 0.0;
    for now in (0..45_000).step_by(STEP_MS as usize) {
        simulation.step(now);
        if now > 8_000 && now % 500 == 0 && simulation.loses_many(now) {
            let (sound, idle) = simulation.sound(now);
            worst = worst.max(idle as f64 / sound as f64);
        }
    }
    assert!(worst <= IDLE_SHARE_MAX, "{worst:.2} of the sound upstreams got no request");
}
