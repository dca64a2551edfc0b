//! One upstream's breaker.

use std::time::Duration;

use hemlockfield::breaker::Cause;
use hemlockfield::breaker::Circuit;
use hemlockfield::breaker::Counts;
use hemlockfield::breaker::State;
use hemlockfield::health::Kind;
use rstest::rstest;

const USUAL: Duration = Duration::from_millis(200);

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn one(kind: Kind) -> Counts {
    Counts::from_outcome(kind, USUAL)
}

fn opened_at(now: Duration) -> Circuit {
    let mut circuit = Circuit::default();
    circuit.record_own(now, &one(Kind::Cut));
    circuit
}

fn is_open(circuit: &Circuit) -> bool {
    matches!(circuit.state(), State::Open { .. })
}

// An upstream begins to cut its answers. The first cut answer that a caller receives takes it
// out: of the next ones nine in ten would be cut too, and what may run once is lost there.
#[rstest]
#[case::cut(Kind::Cut)]
#[case::silent(Kind::Silent)]
#[case::timeout(Kind::Timeout)]
fn record_first_broken(#[case] kind: Kind) {
    let mut circuit = Circuit::default();
    circuit.record(ms(100), &one(kind));
    assert!(is_open(&circuit));
}

// One answer in a hundred is the upstream's own failure on a sound upstream. Alone it takes
// nothing out; three of the last six do.
#[test]
fn record_own_failures() {
    let mut circuit = Circuit::default();
    for at in 0..20 {
        circuit.record_own(ms(at * 100), &one(Kind::Success));
    }
    circuit.record_own(ms(2_100), &one(Kind::ServerError));
    assert_eq!(circuit.state(), State::Closed);
    for at in 0..16 {
        circuit.record_own(ms(6_000 + at * 100), &one(Kind::ServerError));
    }
    assert!(is_open(&circuit));
}

// An upstream is out. Answers to requests from before the fault arrive late, and say nothing
// about it; only trials close it, two in a row.
#[test]
fn record_late_success_closes_nothing() {
    let mut circuit = opened_at(ms(0));
    circuit.record(ms(200), &one(Kind::Success));
    circuit.tick(ms(1_000));
    assert!(matches!(circuit.state(), State::HalfOpen { .. }));
    circuit.record(ms(1_100), &one(Kind::Success));
    assert!(matches!(circuit.state(), State::HalfOpen { passed: 0, .. }));
    circuit.record_own(ms(1_200), &Counts::from_trial(Kind::Success, USUAL, true));
    circuit.record_own(ms(1_300), &Counts::from_trial(Kind::Success, USUAL, true));
    assert_eq!(circuit.state(), State::Closed);
}

// A fault goes on, and each trial fails. The pauses stay short: the upstream is back soon after
// the fault is over, and its work does not queue up at the others meanwhile.
#[test]
fn record_failed_trials_short_pauses() {
    let mut circuit = opened_at(ms(0));
    let mut now = ms(0);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        let State::Open { until } = circuit.state() else { panic!("{:?}", circuit.state()) };
        pauses.push((until - now).as_millis());
        now = until;
        circuit.tick(now);
        circuit.record(now, &Counts::from_trial(Kind::Cut, USUAL, true));
    }
    assert_eq!(pauses, [350, 300, 300, 300]);
}

// An upstream holds what it gets. It is found after a second, by a request that is overdue, and
// is to be tried; two seconds later the callers of requests from before that give up. They tell
// nothing newer: taken for failed trials, they would put the next trial off by three seconds.
#[test]
fn record_hung_from_before() {
    let mut circuit = Circuit::default();
    circuit.record(ms(1_000), &Counts { hung: 1, waited: 1_000, ..Counts::default() });
    assert!(is_open(&circuit));
    circuit.tick(ms(1_500));
    let tried = circuit.state();
    assert!(matches!(tried, State::HalfOpen { .. }));
    circuit.record(ms(3_000), &Counts::from_outcome(Kind::Timeout, ms(3_000)));
    assert_eq!(circuit.state(), tried);
    assert_eq!(circuit.outage(), (ms(0), ms(0)));
    circuit.record(ms(3_100), &Counts::from_outcome(Kind::Timeout, ms(1_000)));
    assert!(is_open(&circuit));
    assert_eq!(circuit.outage(), (ms(0), ms(2_100)));
}

// A service has no idempotent requests, and nobody has tried its upstream yet. However long
// that takes, it gets no work that was not told as a trial: the fault may go on.
#[test]
fn tick_untried_stays_out() {
    let mut circuit = opened_at(ms(0));
    for second in 1..60 {
        circuit.tick(ms(1_000 * second));
        assert_ne!(circuit.state(), State::Closed);
    }
    circuit.record(ms(60_000), &Counts::from_trial(Kind::Success, USUAL, true));
    assert_ne!(circuit.state(), State::Closed);
    circuit.record(ms(60_100), &Counts::from_trial(Kind::Success, USUAL, true));
    assert_eq!(circuit.state(), State::Closed);
}

// An upstream takes requests and answers none. Nothing fails yet, so only the wait shows it:
// three requests past their usual time with no answer in between.
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

// The path from one entry to an upstream is gone. That entry stops; the others, which reach
// the upstream and get answers, do not.
#[test]
fn record_unreached_from_one_entry() {
    let mut here = Circuit::default();
    let mut elsewhere = Circuit::default();
    for at in 0..8 {
        here.record_own(ms(at * 100), &one(Kind::ConnectFailed));
        elsewhere.record(ms(at * 100), &one(Kind::ConnectFailed));
        elsewhere.record_own(ms(at * 100), &one(Kind::Success));
    }
    assert!(is_open(&here));
    assert_eq!(elsewhere.state(), State::Closed);
}

// An upstream is out, and an operator wants to know for what. A request that ran out of time is
// told from one that still waits, which may yet be answered.
#[rstest]
#[case::cut(one(Kind::Cut), Cause::Broken)]
#[case::timeout(one(Kind::Timeout), Cause::Hung)]
#[case::waits(overdue(), Cause::Overdue)]
#[case::waits_beside_one_out_of_time(both(), Cause::Hung)]
fn cause_by_evidence(#[case] counts: Counts, #[case] cause: Cause) {
    let mut circuit = Circuit::default();
    circuit.record(ms(100), &counts);
    assert!(is_open(&circuit));
    assert_eq!(circuit.cause(), cause);
}

/// A request that has waited for a second, and goes on waiting.
fn overdue() -> Counts {
    Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() }
}

fn both() -> Counts {
    let mut counts = overdue();
    counts.add(&one(Kind::Timeout));
    counts
}
