//! Requests that nothing tells apart, and their trials.

use hemlockfield::poison::Decision;
use hemlockfield::poison::Evidence;
use hemlockfield::poison::Fingerprint;
use hemlockfield::poison::Ledger;
use hemlockfield::poison::Trials;

use super::FATAL;
use super::HOT;
use super::at;
use super::crash;
use super::crash_under;
use super::from;
use super::is_refused;
use super::of;

// Two requests were in flight at the same crashes, and no answer to either is heard of.
#[test]
fn decide_tied() {
    let mut ledger = Ledger::default();
    (0..3).for_each(|number| crash(&mut ledger, 0, number, &[FATAL, HOT]));
    assert!(!is_refused(&mut ledger, 5_000, HOT) && !is_refused(&mut ledger, 5_000, FATAL));
    crash(&mut ledger, 5_000, 3, &[FATAL]);
    assert!(is_refused(&mut ledger, 6_000, FATAL) && !is_refused(&mut ledger, 6_000, HOT));
}

// Two fatal requests are sent together, so that nothing tells one from the other.
#[test]
fn decide_tied_again() {
    let mut ledger = Ledger::default();
    (0..4).for_each(|number| crash(&mut ledger, 0, number, &[FATAL, HOT]));
    assert!(is_refused(&mut ledger, 1_000, FATAL) && is_refused(&mut ledger, 1_000, HOT));
}

// Nothing tells two requests apart; each is tried before long, one after the other, and the one that is answered goes on.
#[test]
fn decide_tied_tried() {
    let mut ledger = Ledger::default();
    (0..4).for_each(|number| crash(&mut ledger, 0, number, &[FATAL, HOT]));
    assert!(is_refused(&mut ledger, 1_000, FATAL) && is_refused(&mut ledger, 1_000, HOT));
    let trials = |millis: u64| {
        let list = ledger.list();
        let is_trial = |number: Fingerprint| {
            let decision = list.decide(at(millis), &of(number), |_, turn| turn == 0);
            usize::from(matches!(decision, Decision::Trial { .. }))
        };
        is_trial(FATAL) + is_trial(HOT)
    };
    assert_eq!([trials(2_900), trials(3_000), trials(5_000)], [0, 1, 1]);
    crash(&mut ledger, 3_100, 9, &[FATAL]);
    ledger.record(at(5_200), &Evidence::of_answer(of(HOT)));
    assert!(is_refused(&mut ledger, 60_000, FATAL) && !is_refused(&mut ledger, 5_200, HOT));
}

// The trial of a fatal request ended an upstream at which that of another one was in flight.
#[test]
fn decide_tied_apart() {
    let mut ledger = Ledger::default();
    (0..4).for_each(|number| crash(&mut ledger, 0, number, &[FATAL, HOT]));
    ledger.advance(at(1_000));
    let list = ledger.list();
    let may_try = |millis: u64, number: Fingerprint| {
        let decision = list.decide(at(millis), &of(number), |_, _| true);
        matches!(decision, Decision::Trial { .. })
    };
    for millis in (3_000..20_000).step_by(100) {
        assert!(!may_try(millis, FATAL) || !may_try(millis, HOT), "{millis}");
    }
    for number in [FATAL, HOT] {
        let tried = (5_000..9_000).step_by(100).filter(|millis| may_try(*millis, number));
        assert_eq!(tried.count(), 20);
    }
}

// Each of many callers of a hot path had a request in flight at the same crashes as the fatal one; their trials,
// one after the other, would have taken minutes.
#[test]
fn decide_tied_callers() {
    let mut ledger = Ledger::default();
    for number in 0..4 {
        let hot = (0..20).map(|caller| from(caller, HOT));
        crash_under(&mut ledger, 0, number, hot.chain([of(FATAL)]));
    }
    ledger.advance(at(1_000));
    assert_eq!(ledger.list().quarantined(), 2);
}

// A trial found no upstream to be sent to; the request was refused until another entry's turn.
#[test]
fn give_back_unsent() {
    let mut trials = Trials::default();
    assert!(trials.try_take(1, at(0)) && !trials.try_take(1, at(0)));
    trials.give_back(1);
    assert!(trials.try_take(1, at(0)) && trials.try_take(1, at(10_000)));
}
