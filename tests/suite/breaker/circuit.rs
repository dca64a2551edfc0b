//! Tests of the breaker of one upstream.

use std::time::Duration;

use hemlockfield::breaker::Cause;
use hemlockfield::breaker::Circuit;
use hemlockfield::breaker::Counts;
use hemlockfield::breaker::State;
use hemlockfield::health::Kind;
use rstest::rstest;

const LATENCY: Duration = Duration::from_millis(200);

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn outcome(kind: Kind) -> Counts {
    Counts::from_outcome(kind, LATENCY)
}

fn opened(now: Duration) -> Circuit {
    let mut circuit = Circuit::default();
    circuit.record_own(now, &outcome(Kind::Cut));
    circuit
}

fn is_open(circuit: &Circuit) -> bool {
    matches!(circuit.state(), State::Open { .. })
}

// The first truncated or missing answer must open the breaker: nine in ten of the next answers
// would break too, and non-idempotent requests would be lost.
#[rstest]
#[case::cut(Kind::Cut)]
#[case::silent(Kind::Silent)]
#[case::timeout(Kind::Timeout)]
fn record_first_lost(#[case] kind: Kind) {
    let mut circuit = Circuit::default();
    circuit.record(ms(100), &outcome(kind));
    assert!(is_open(&circuit));
}

// A sound upstream fails one request in a hundred. A single failure must not open the breaker; a
// series of them must.
#[test]
fn record_own_failures() {
    let mut circuit = Circuit::default();
    for at in 0..20 {
        circuit.record_own(ms(at * 100), &outcome(Kind::Success));
    }
    circuit.record_own(ms(2_100), &outcome(Kind::ServerError));
    assert_eq!(circuit.state(), State::Closed);
    for at in 0..16 {
        circuit.record_own(ms(6_000 + at * 100), &outcome(Kind::ServerError));
    }
    assert!(is_open(&circuit));
}

// Answers to requests sent before the fault arrive while the breaker is open. They must not close
// it; two successful trials in a row do.
#[test]
fn record_success_of_earlier_request() {
    let mut circuit = opened(ms(0));
    circuit.record(ms(200), &outcome(Kind::Success));
    circuit.tick(ms(1_000));
    assert!(matches!(circuit.state(), State::HalfOpen { .. }));
    circuit.record(ms(1_100), &outcome(Kind::Success));
    assert!(matches!(circuit.state(), State::HalfOpen { passed: 0, .. }));
    circuit.record_own(ms(1_200), &Counts::from_trial(Kind::Success, LATENCY));
    circuit.record_own(ms(1_300), &Counts::from_trial(Kind::Success, LATENCY));
    assert_eq!(circuit.state(), State::Closed);
}

// Each trial fails while a fault lasts. The pauses must stay short, so that the upstream returns
// soon after the fault and the others build no queues.
#[test]
fn record_failed_trials_short_pauses() {
    let mut circuit = opened(ms(0));
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        let State::Open { until } = circuit.state() else { panic!("{:?}", circuit.state()) };
        pauses.push((until - now).as_millis());
        now = until;
        circuit.tick(now);
        circuit.record(now, &Counts::from_trial(Kind::Cut, LATENCY));
    }
    assert_eq!(pauses, [350, 300, 300, 300]);
}

// An upstream hangs its requests; an overdue one opens the breaker after a second. Two seconds
// later the callers of earlier requests give up. Counted as failed trials, they would delay the
// next trial by three seconds.
#[test]
fn record_hung_sent_before_failure() {
    let mut circuit = Circuit::default();
    circuit.record(ms(1_000), &Counts { hung: 1, waited: 1_000, ..Counts::default() });
    assert!(is_open(&circuit));
    circuit.tick(ms(1_500));
    let half_open = circuit.state();
    assert!(matches!(half_open, State::HalfOpen { .. }));
    circuit.record(ms(3_000), &Counts::from_outcome(Kind::Timeout, ms(3_000)));
    assert_eq!(circuit.state(), half_open);
    assert_eq!(circuit.outage(), (ms(0), ms(0)));
    circuit.record(ms(3_100), &Counts::from_outcome(Kind::Timeout, ms(1_000)));
    assert!(is_open(&circuit));
    assert_eq!(circuit.outage(), (ms(0), ms(2_100)));
}

// Requests that hung from before the trials began put off the next trial each time one of their callers
// gave up.
#[test]
fn record_hung_sent_before_trials() {
    let mut circuit = Circuit::default();
    circuit.record(ms(1_000), &Counts { hung: 1, waited: 1_000, ..Counts::default() });
    circuit.tick(ms(1_500));
    let half_open = circuit.state();
    for sent_at in [400, 800, 900] {
        circuit.record(ms(sent_at + 2_000), &Counts::from_outcome(Kind::Timeout, ms(2_000)));
        assert_eq!(circuit.state(), half_open);
        assert_eq!(circuit.outage(), (ms(0), ms(sent_at)));
    }
}

// A service has no idempotent requests, and nobody has tried its upstream. The breaker must not
// close with time alone, as the fault may last.
#[test]
fn tick_without_trials() {
    let mut circuit = opened(ms(0));
    for second in 1..60 {
        circuit.tick(ms(1_000 * second));
        assert_ne!(circuit.state(), State::Closed);
    }
    circuit.record(ms(60_000), &Counts::from_trial(Kind::Success, LATENCY));
    assert_ne!(circuit.state(), State::Closed);
    circuit.record(ms(60_100), &Counts::from_trial(Kind::Success, LATENCY));
    assert_eq!(circuit.state(), State::Closed);
}

// An upstream accepts requests and answers none. Three late requests with no answer in between
// must open the breaker before any of them times out.
#[test]
fn record_late_requests() {
    let late = Counts { late: 1, ..Counts::default() };
    let mut circuit = Circuit::default();
    circuit.record_own(ms(0), &late);
    circuit.record_own(ms(100), &late);
    assert_eq!(circuit.state(), State::Closed);
    circuit.record_own(ms(200), &late);
    assert!(is_open(&circuit));
}

// One entry can't connect to an upstream. Its breaker must open; those of entries that get
// answers must not.
#[test]
fn record_unreached_from_one_entry() {
    let mut here = Circuit::default();
    let mut elsewhere = Circuit::default();
    for at in 0..8 {
        here.record_own(ms(at * 100), &outcome(Kind::ConnectFailed));
        elsewhere.record(ms(at * 100), &outcome(Kind::ConnectFailed));
        elsewhere.record_own(ms(at * 100), &outcome(Kind::Success));
    }
    assert!(is_open(&here));
    assert_eq!(elsewhere.state(), State::Closed);
}

// The reported cause must tell a request that timed out from one that is still pending and may
// yet be answered.
#[rstest]
#[case::cut(outcome(Kind::Cut), Cause::Broken)]
#[case::timeout(outcome(Kind::Timeout), Cause::Hung)]
#[case::overdue(overdue(), Cause::Overdue)]
#[case::overdue_and_timeout(overdue_and_hung(), Cause::Hung)]
fn cause_by_counts(#[case] counts: Counts, #[case] cause: Cause) {
    let mut circuit = Circuit::default();
    circuit.record(ms(100), &counts);
    assert!(is_open(&circuit));
    assert_eq!(circuit.cause(), cause);
}

/// A request that has waited for a second and is still pending.
fn overdue() -> Counts {
    Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() }
}

fn overdue_and_hung() -> Counts {
    let mut counts = overdue();
    counts.add(&outcome(Kind::Timeout));
    counts
}
