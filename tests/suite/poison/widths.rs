//! What counts as one request, and as one crash.

use hemlockfield::poison::Evidence;
use hemlockfield::poison::Ledger;
use hemlockfield::poison::Scope;
use rstest::rstest;

use super::FATAL;
use super::HOT;
use super::at;
use super::crash_under;
use super::from;
use super::is_refused;
use super::is_refused_from;
use super::of;
use super::with_body;

/// A ledger of three crashes under one caller's request.
fn ended_by_one_caller() -> Ledger {
    let mut ledger = Ledger::default();
    for number in 0..3 {
        crash_under(&mut ledger, 400 * number, number as usize, [from(1, FATAL)]);
    }
    ledger
}

// Each time another caller sent the request that ended an upstream.
#[test]
fn decide_many_callers() {
    let mut ledger = Ledger::default();
    for caller in 0..3 {
        crash_under(&mut ledger, 400 * caller, caller as usize, [from(caller, FATAL)]);
    }
    assert!(is_refused_from(&mut ledger, 2_000, &from(7, FATAL)));
    assert!(!is_refused_from(&mut ledger, 2_000, &from(0, HOT)));
}

// One caller's requests end upstreams, and others ask for the same and are not answered meanwhile.
#[test]
fn decide_one_caller() {
    let mut ledger = ended_by_one_caller();
    assert!(is_refused_from(&mut ledger, 2_000, &from(1, FATAL)));
    assert!(!is_refused_from(&mut ledger, 2_000, &from(2, FATAL)));
}

// One caller's request is in quarantine, and then another caller's like it ends an upstream.
#[test]
fn decide_second_caller() {
    let mut ledger = ended_by_one_caller();
    ledger.advance(at(2_000));
    crash_under(&mut ledger, 9_000, 3, [from(2, FATAL)]);
    assert!(is_refused_from(&mut ledger, 9_000, &from(3, FATAL)));
}

// One caller's requests end upstreams, and those of others for the same are answered.
#[test]
fn decide_one_caller_others_answered() {
    let mut ledger = Ledger::default();
    for number in 0..4 {
        let millis = 400 * number;
        crash_under(&mut ledger, millis, number as usize, [from(1, FATAL), from(2, FATAL)]);
        ledger.record(at(millis + 50), &Evidence::of_answer(from(2, FATAL)));
    }
    assert!(is_refused_from(&mut ledger, 3_000, &from(1, FATAL)));
    assert!(!is_refused_from(&mut ledger, 3_000, &from(2, FATAL)));
    assert!(!is_refused_from(&mut ledger, 3_000, &from(3, FATAL)));
}

// Requests for one path end upstreams, each with another query or body; an answer to any of them shows that they
// need not.
#[rstest]
#[case::unanswered(false)]
#[case::answered(true)]
fn decide_other_bodies(#[case] is_answered: bool) {
    let mut ledger = Ledger::default();
    for number in 0..3_u64 {
        let identity = with_body(number, 1, number.into());
        crash_under(&mut ledger, 400 * number, number as usize, [identity]);
    }
    if is_answered {
        ledger.record(at(900), &Evidence::of_answer(with_body(8, 1, 8)));
    }
    assert_eq!(is_refused_from(&mut ledger, 2_000, &with_body(9, 1, 9)), !is_answered);
    assert!(!is_refused_from(&mut ledger, 2_000, &with_body(9, 2, 9)));
}

// All paths to a service are lost at once, and each entry sees all of its upstreams end.
#[test]
fn decide_lost_path() {
    let mut ledger = Ledger::default();
    let mut lose = |millis: u64| {
        let evidence = Evidence::of_crash(Scope::Service("hull".into()), vec![of(HOT)]);
        ledger.record(at(millis), &evidence);
    };
    (0..40).for_each(|entry| lose(10 * entry));
    assert!(!is_refused(&mut ledger, 5_000, HOT));
}

// The only upstream of a service ends under a request each time it is back.
#[test]
fn decide_only_upstream() {
    let mut ledger = Ledger::default();
    for millis in [0, 3_000, 6_000] {
        let evidence = Evidence::of_crash(Scope::Service("hull".into()), vec![of(FATAL)]);
        ledger.record(at(millis), &evidence);
    }
    assert!(is_refused(&mut ledger, 7_000, FATAL));
}

// A request whose path alone is suspected may be tried again elsewhere, one that ended two upstreams may not.
#[test]
fn allows_retry_path() {
    let mut ledger = Ledger::default();
    crash_under(&mut ledger, 0, 0, [with_body(0, 1, 0)]);
    crash_under(&mut ledger, 0, 1, [with_body(1, 1, 1)]);
    assert!(ledger.list().allows_retry(&with_body(0, 1, 0)));
    crash_under(&mut ledger, 0, 2, [with_body(2, 1, 1)]);
    assert!(!ledger.list().allows_retry(&with_body(3, 1, 1)));
}
