//! Retry budget of all entries together, shared by the counts of the feed.

use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::catalog::Catalog;
use hemlockfield::feed::Capacity;
use hemlockfield::feed::Entry;
use hemlockfield::feed::Message;
use hemlockfield::feed::Poll;
use hemlockfield::feed::Publisher;
use hemlockfield::feed::Selection;
use hemlockfield::feed::Snapshot;
use hemlockfield::feed::Tallies;
use hemlockfield::fleet::State;
use hemlockfield::poison;
use hemlockfield::retry::Attempt;
use hemlockfield::retry::Decision;
use hemlockfield::retry::Limits;
use hemlockfield::retry::Listing;
use hemlockfield::retry::Outcome;
use hemlockfield::retry::Participants;
use hemlockfield::retry::Policy;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ENTRIES: u64 = 32;
/// Number of entries that lose all controls for a while.
const CUT_OFF: usize = ENTRIES as usize / 3;
const SHARE: f64 = 0.2;
/// Burst of the reported fault. [`LARGE_BURST`] is far larger, because with shares of a few
/// retries an excess goes unnoticed.
const BURST: f64 = 56.0;
const LARGE_BURST: f64 = 640.0;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: u64 = 20;
const POLL: u64 = 500;
/// Interval in milliseconds that lets an entry send only its first request.
const ONE_DAY: u64 = 86_400_000;

/// Interval between two requests of an entry, in milliseconds.
struct Intervals {
    /// For an advertised entry.
    named: u64,
    /// For any other entry.
    other: u64,
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn entry(at: u64) -> Entry {
    Entry {
        callers: ([127, 0, 0, 1], at as u16).into(),
        domain: compact_str::format_compact!("domain-{}", at % 3),
        id: compact_str::format_compact!("entry-{at}"),
        peers: None,
        reach: BTreeMap::new(),
        room: Capacity::default(),
        state: State::Serving,
    }
}

/// An entry and its retry budget.
struct Sender {
    entry: Entry,
    policy: Policy,
    /// Whether the last list of a control names it.
    is_listed: bool,
    participants: Participants,
    /// When it starts, in milliseconds.
    started_at: u64,
}

impl Sender {
    fn new(at: u64) -> Self {
        Self::start(at, 0)
    }

    fn start(at: u64, started_at: u64) -> Self {
        let policy = Policy::new(ChaCha8Rng::seed_from_u64(at));
        let participants = Participants::new(WINDOW);
        Self { entry: entry(at), policy, is_listed: false, participants, started_at }
    }

    /// Polls a control that has run for `age`.
    fn poll(&mut self, now: Duration, age: Duration, publisher: &mut Publisher) {
        let catalog = Catalog::default();
        let controls = Vec::new();
        let snapshot = Snapshot { applied: 0, catalog: &catalog, controls, fresh: true };
        let poll = Poll {
            configuration: None,
            entry: self.entry.clone(),
            is_downloading: false,
            known: 0,
            loading: None,
            named: 0,
            quarantine: poison::Report::default(),
            selection: Selection::default(),
            sequence: 1,
            tallies: Tallies::default(),
        };
        let sends = publisher.poll(age, poll, &snapshot);
        let Some((_, Message::News(update))) = sends.into_iter().next() else {
            panic!("no answer")
        };
        if let Some(named) = &update.named {
            self.is_listed = named.iter().any(|entry| entry.id == self.entry.id);
        }
        let listing = Listing {
            entries: update.entries,
            is_listed: self.is_listed,
            is_serving: self.entry.state == State::Serving,
            is_settled: update.is_settled,
            serving: update.serving,
        };
        self.participants.update(now, listing);
    }

    /// Sets the retry limits from the known number of entries.
    fn update_limits(&mut self, now: Duration, burst: f64) {
        self.policy.advance(now);
        let part = self.participants.part(now);
        self.policy.set_limits(Limits::per_entry(SHARE, burst, WINDOW, part));
    }

    /// Sends a request to a dead upstream. Returns whether it is retried.
    fn send(&mut self, now: Duration) -> bool {
        self.policy.advance(now);
        self.policy.record_first(Duration::ZERO);
        let attempt = Attempt {
            body_kept: true,
            head_sent: false,
            idempotent: true,
            limit: u32::MAX,
            outcome: Outcome::Cut,
            remaining: Duration::from_secs(5),
            sends: 1,
            sent: true,
            tries: 1,
        };
        matches!(self.policy.decide(&attempt), Decision::Again { .. })
    }
}

/// A control, its entries and all requests that they send.
struct Fleet {
    burst: f64,
    intervals: Intervals,
    publisher: Publisher,
    sent: Vec<(u64, bool)>,
    senders: Vec<Sender>,
    started_at: u64,
}

impl Fleet {
    fn new(burst: f64, intervals: Intervals) -> Self {
        let senders = (0..ENTRIES).map(Sender::new).collect();
        Self {
            burst,
            intervals,
            publisher: Publisher::default(),
            sent: Vec::new(),
            senders,
            started_at: 0,
        }
    }

    /// Restarts the control, which then knows no entry.
    fn restart(&mut self, now: u64) {
        self.publisher = Publisher::default();
        self.started_at = now;
    }

    /// Simulates one step. If `is_cut`, a third of the entries reach no control.
    fn step(&mut self, now: u64, is_cut: bool) {
        let age = ms(now - self.started_at);
        for (at, sender) in self.senders.iter_mut().enumerate() {
            // The entries poll one after the other.
            let is_due = now % POLL == at as u64 * STEP % POLL || now == sender.started_at;
            let is_running = now >= sender.started_at;
            if is_running && is_due && !(is_cut && at < CUT_OFF) {
                sender.poll(ms(now), age, &mut self.publisher);
            }
            sender.update_limits(ms(now), self.burst);
        }
        let roster = self.publisher.roster(age);
        let named: Vec<_> = roster.advertised().iter().map(|it| it.id.clone()).collect();
        let serving = self.senders.iter_mut().filter(|it| now >= it.started_at);
        for sender in serving.filter(|it| it.entry.state == State::Serving) {
            let interval = if named.contains(&sender.entry.id) {
                self.intervals.named
            } else {
                self.intervals.other
            };
            for _ in (now..now + STEP).filter(|at| at % interval == 0) {
                self.sent.push((now, sender.send(ms(now))));
            }
        }
    }

    /// Checks that the retries in every window stay within the budget.
    fn check(&self) {
        let window = WINDOW.as_millis() as u64;
        let last = self.sent.last().map_or(0, |(at, _)| *at);
        for from in (0..=last.saturating_sub(window)).step_by(POLL as usize) {
            let within = || self.sent.iter().filter(|(at, _)| (from..from + window).contains(at));
            let again = within().filter(|(_, again)| *again).count();
            let allowed = SHARE * within().count() as f64 + self.burst;
            assert!(again as f64 <= allowed, "{again} from {from} ms on, {allowed:.0} allowed");
        }
    }
}

// Three of 32 entries are advertised, but some callers use the others: operators who check a
// change, and callers with an old list. Upstreams are dead that no control reports. If each entry
// takes the burst of one in three, 32 entries send 213 retries for 671 requests, and 190 are
// allowed.
#[test]
fn budget_entries_not_advertised() {
    let mut fleet = Fleet::new(BURST, Intervals { named: 100, other: 800 });
    (0..40_000).step_by(STEP as usize).for_each(|now| fleet.step(now, false));
    fleet.check();
}

// The control restarts every five seconds and reports too few entries to the first that poll it.
// None of them may take the whole burst.
#[test]
fn budget_control_restarts() {
    let mut fleet = Fleet::new(LARGE_BURST, Intervals { named: 5, other: ONE_DAY });
    for now in (0..60_000).step_by(STEP as usize) {
        if now > 20_000 && now % 5_000 == 0 {
            fleet.restart(now);
        }
        fleet.step(now, false);
    }
    fleet.check();
}

// A third of the entries repeatedly lose all controls and keep serving. The others learn after a
// while that they are fewer. They must not take over the shares that the partitioned entries, or
// those just back, still spend.
#[rstest]
#[case::briefly(4_000)]
#[case::until_others_learn(17_000)]
#[case::long(30_000)]
fn budget_entries_partitioned(#[case] span: u64) {
    let mut fleet = Fleet::new(LARGE_BURST, Intervals { named: 200, other: 200 });
    for now in (0..120_000).step_by(STEP as usize) {
        let is_cut = now > 20_000 && (now / span).is_multiple_of(2);
        fleet.step(now, is_cut);
    }
    fleet.check();
}

// All entries are killed again and again. None of the processes knows what the ones before it spent.
#[test]
fn budget_crash_loop() {
    let mut fleet = Fleet::new(LARGE_BURST, Intervals { named: 100, other: 100 });
    for now in (0..30_000).step_by(STEP as usize) {
        if now % 600 == 0 {
            fleet.senders = (0..ENTRIES).map(|at| Sender::start(at, now)).collect();
        }
        fleet.step(now, false);
    }
    fleet.check();
}

// Entries start seconds apart. The first ones are told that they are few.
#[rstest]
fn budget_starts_apart(#[values(100, 300)] gap: u64) {
    let mut fleet = Fleet::new(LARGE_BURST, Intervals { named: 50, other: 50 });
    fleet.senders = (0..ENTRIES).map(|at| Sender::start(at, at * gap)).collect();
    (0..40_000).step_by(STEP as usize).for_each(|now| fleet.step(now, false));
    fleet.check();
}

// Entries wait for their first configuration, and none is counted as serving. Then all serve at once.
#[test]
fn budget_late_configuration() {
    let mut fleet = Fleet::new(LARGE_BURST, Intervals { named: 10, other: 10 });
    fleet.senders = (0..ENTRIES).map(|at| Sender::start(at, 0)).collect();
    fleet.senders.iter_mut().for_each(|it| it.entry.state = State::Starting);
    for now in (0..50_000).step_by(STEP as usize) {
        if now == 20_010 / STEP * STEP {
            fleet.senders.iter_mut().for_each(|it| it.entry.state = State::Serving);
        }
        fleet.step(now, false);
    }
    fleet.check();
}

/// A part of all listed entries and of all serving ones, as [`Participants::part`] gives it.
fn part(listed: f64, serving: f64) -> f64 {
    0.75 / listed + 0.25 / serving
}

// A partitioned entry is updated again. It gets no part for a window and a lease, because the
// others may just have spent its part.
#[test]
fn participants_updated_again() {
    let listing =
        Listing { entries: 32, is_listed: true, is_serving: true, is_settled: true, serving: 32 };
    let mut participants = Participants::new(WINDOW);
    (0..20).for_each(|second| participants.update(ms(second * 1_000), listing));
    assert_eq!(participants.part(ms(19_000)), part(32.0, 32.0));
    assert_eq!(participants.part(ms(24_000)), 0.0);
    (50..70).for_each(|second| participants.update(ms(second * 1_000), listing));
    assert_eq!(participants.part(ms(64_000)), 0.0);
    assert_eq!(participants.part(ms(65_000)), part(32.0, 32.0));
}

// A thousand entries serve and callers are told of sixty. With equal parts for all, a fault of all
// upstreams left each of the sixty one retry.
#[test]
fn participants_few_listed() {
    let listed =
        Listing { entries: 60, is_listed: true, is_serving: true, is_settled: true, serving: 985 };
    let mut participants = Participants::new(WINDOW);
    let unsettled = Listing { entries: 985, is_settled: false, ..listed };
    let others = part(f64::INFINITY, 985.0);
    (0..16).for_each(|second| participants.update(ms(second * 1_000), unsettled));
    assert_eq!(participants.part(ms(14_999)), 0.0);
    assert_eq!(participants.part(ms(15_000)), others);
    (16..32).for_each(|second| participants.update(ms(second * 1_000), listed));
    assert_eq!(participants.part(ms(30_999)), others);
    assert_eq!(participants.part(ms(31_000)), part(60.0, 985.0));
    participants.update(ms(31_500), Listing { is_listed: false, ..listed });
    assert_eq!(participants.part(ms(31_500)), others);
}
