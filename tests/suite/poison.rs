//! Tests of `hemlockfield::poison`.

mod checks;
mod tied;
mod widths;

use std::time::Duration;

use compact_str::format_compact;
use hemlockfield::clock::Moment;
use hemlockfield::poison::Decision;
use hemlockfield::poison::Evidence;
use hemlockfield::poison::Fingerprint;
use hemlockfield::poison::Identity;
use hemlockfield::poison::Ledger;
use hemlockfield::poison::Parts;
use hemlockfield::poison::Report;
use hemlockfield::poison::Scope;
use hemlockfield::poison::Trials;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const FATAL: Fingerprint = 1;
const HOT: Fingerprint = 2;

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// One caller's request, which has nothing in common with those that have another number.
fn of(number: Fingerprint) -> Identity {
    from(0, number)
}

/// The request with this number of some caller.
fn from(caller: u64, number: Fingerprint) -> Identity {
    Identity::of(&Parts {
        caller: &caller.to_string(),
        path: number.into(),
        request: number.into(),
        service: "hull",
    })
}

/// A caller's request for the path with this number, with a body of its own.
fn with_body(caller: u64, path: u128, body: u128) -> Identity {
    let request = path << 64 | body;
    Identity::of(&Parts { caller: &caller.to_string(), path, request, service: "hull" })
}

fn crash(ledger: &mut Ledger, millis: u64, upstream: usize, suspects: &[Fingerprint]) {
    crash_under(ledger, millis, upstream, suspects.iter().map(|number| of(*number)));
}

fn crash_under(
    ledger: &mut Ledger,
    millis: u64,
    upstream: usize,
    suspects: impl IntoIterator<Item = Identity>,
) {
    let scope = Scope::Upstream(format_compact!("i-{upstream}"));
    ledger.record(at(millis), &Evidence::of_crash(scope, suspects.into_iter().collect()));
}

fn is_refused(ledger: &mut Ledger, millis: u64, number: Fingerprint) -> bool {
    is_refused_from(ledger, millis, &of(number))
}

fn is_refused_from(ledger: &mut Ledger, millis: u64, identity: &Identity) -> bool {
    ledger.advance(at(millis));
    let verdict = ledger.list().decide(at(millis), identity, |_, _| false);
    matches!(verdict, Decision::Refuse { .. })
}

/// A ledger of which one request is in quarantine.
fn quarantined(fingerprint: Fingerprint) -> Ledger {
    let mut ledger = Ledger::default();
    (0..3).for_each(|number| crash(&mut ledger, 400 * number as u64, number, &[fingerprint]));
    ledger.advance(at(2_000));
    ledger
}

// A request ended three upstreams and was sent on to all others.
#[test]
fn decide_three_crashes() {
    let mut ledger = Ledger::default();
    (0..2).for_each(|number| crash(&mut ledger, 400 * number as u64, number, &[FATAL]));
    assert!(!is_refused(&mut ledger, 5_000, FATAL));
    crash(&mut ledger, 6_000, 2, &[FATAL]);
    assert!(is_refused(&mut ledger, 7_000, FATAL));
    assert!(!is_refused(&mut ledger, 7_000, HOT));
}

// Several entries report one crash, and controls bring a report twice.
#[test]
fn decide_same_crash() {
    let mut ledger = Ledger::default();
    for millis in [0, 20, 600, 1_400] {
        crash(&mut ledger, millis, 1, &[FATAL]);
    }
    crash(&mut ledger, 1_400, 2, &[FATAL]);
    assert!(!is_refused(&mut ledger, 4_000, FATAL));
}

// A hot path is in flight whenever an upstream ends, and other upstreams answer it.
#[test]
fn decide_answered() {
    let mut ledger = Ledger::default();
    for number in 0..3 {
        crash(&mut ledger, 100 * number as u64, number, &[FATAL, HOT]);
    }
    ledger.record(at(900), &Evidence::of_answer(of(HOT)));
    assert!(!is_refused(&mut ledger, 1_500, HOT));
    assert!(is_refused(&mut ledger, 1_500, FATAL));
}

// A request was in flight at three of the upstreams that another one ended.
#[test]
fn decide_explained() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, 0, 0, &[FATAL]);
    for number in 1..4 {
        crash(&mut ledger, 100 * number as u64, number, &[FATAL, HOT]);
    }
    assert!(!is_refused(&mut ledger, 1_400, HOT));
    assert!(is_refused(&mut ledger, 1_400, FATAL));
}

// The request that ended upstreams is in quarantine, and no answer has come yet to one that was in flight there: an
// entry that is cut off hears of none.
#[test]
fn decide_explained_by_quarantined() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, 0, 0, &[FATAL]);
    for number in 1..4 {
        crash(&mut ledger, 100 * number as u64, number, &[FATAL, HOT]);
    }
    assert!(is_refused(&mut ledger, 1_400, FATAL));
    crash(&mut ledger, 1_450, 4, &[FATAL, HOT]);
    assert!(!is_refused(&mut ledger, 5_000, HOT));
}

// Two requests end upstreams, and a third one was in flight at some of each.
#[test]
fn decide_explained_by_two() {
    const OTHER_FATAL: Fingerprint = 3;
    let mut ledger = Ledger::default();
    for number in 0..4 {
        let millis = 100 * number as u64;
        crash(&mut ledger, millis, number, if number < 2 { &[FATAL, HOT] } else { &[FATAL] });
        let suspects: &[_] = if number < 2 { &[OTHER_FATAL, HOT] } else { &[OTHER_FATAL] };
        crash(&mut ledger, millis, 10 + number, suspects);
    }
    crash(&mut ledger, 400, 4, &[FATAL]);
    crash(&mut ledger, 400, 14, &[OTHER_FATAL]);
    assert!(!is_refused(&mut ledger, 3_000, HOT));
    assert!(is_refused(&mut ledger, 3_000, FATAL) && is_refused(&mut ledger, 3_000, OTHER_FATAL));
}

// One that was in flight at some crashes of two requests has as many as one of them, and they are all due at once.
#[test]
fn decide_due_at_once() {
    const OTHER_FATAL: Fingerprint = 3;
    let mut ledger = Ledger::default();
    for number in 0..5 {
        crash(&mut ledger, 0, number, if number == 0 { &[FATAL, HOT] } else { &[FATAL] });
    }
    for number in 10..13 {
        crash(
            &mut ledger,
            0,
            number,
            if number < 12 { &[OTHER_FATAL, HOT] } else { &[OTHER_FATAL] },
        );
    }
    assert!(is_refused(&mut ledger, 2_000, FATAL) && is_refused(&mut ledger, 2_000, OTHER_FATAL));
    assert!(!is_refused(&mut ledger, 2_000, HOT));
}

// The quarantine of a request is over; one entry tries it, and it ends another upstream.
#[test]
fn decide_trial() {
    let mut ledger = quarantined(FATAL);
    let since = at(62_000);
    assert!(is_refused(&mut ledger, 61_900, FATAL));
    let verdict = ledger.list().decide(since, &of(FATAL), |_, turn| turn == 0);
    assert!(matches!(verdict, Decision::Trial { .. }), "{verdict:?}");
    let mut trials = Trials::default();
    assert!(trials.try_take(FATAL, since) && !trials.try_take(FATAL, since));
    crash(&mut ledger, 62_500, 9, &[FATAL]);
    crash(&mut ledger, 62_520, 9, &[FATAL]);
    assert!(is_refused(&mut ledger, 62_500 + 239_000, FATAL));
    ledger.record(at(303_000), &Evidence::of_answer(of(FATAL)));
    assert!(!is_refused(&mut ledger, 303_000, FATAL));
}

// A process starts anew and is told of quarantines; one that has heard of an answer is not.
#[test]
fn merge_told() {
    let known = quarantined(FATAL);
    let report = known.report(at(2_000), Some(0));
    let mut started = Ledger::default();
    started.merge(at(500), &report);
    assert!(is_refused(&mut started, 600, FATAL));
    assert_eq!(started.digest(), known.digest());
    assert_eq!(started.report(at(500), Some(known.digest())).quarantines, None);
    started.record(at(700), &Evidence::of_answer(of(FATAL)));
    started.merge(at(800), &report);
    assert!(!is_refused(&mut started, 900, FATAL));
}

// Two processes that told each other of a quarantine would have kept it for ever.
#[test]
fn merge_forgotten() {
    let (mut one, mut other) = (quarantined(FATAL), Ledger::default());
    for second in 0..700 {
        let now = at(2_000 + 1_000 * second);
        other.merge(now, &one.report(now, None));
        one.merge(now, &other.report(now, None));
        one.advance(now);
        other.advance(now);
    }
    assert_eq!((one.digest(), other.digest()), (0, 0));
}

// Callers fill the table with requests of their own that are in flight wherever an upstream ends.
#[rstest]
fn record_flooded(#[values(1, 2, 3)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = Ledger::default();
    for number in 0..300 {
        let noise = (0..40).map(|_| random.random::<u64>());
        let mut suspects: Vec<Fingerprint> = noise.chain([FATAL]).collect();
        suspects.truncate(31);
        suspects.push(FATAL);
        crash(&mut ledger, 50 * number as u64, number, &suspects);
    }
    assert!(is_refused(&mut ledger, 20_000, FATAL));
    let size = ledger.report(at(20_000), None).quarantines.map_or(0, |all| all.len());
    assert!(size <= 256, "{size}");
    assert!(format!("{:?}", ledger.list()).len() < 64 * 1024);
}

// Upstreams end at random, each with what is in flight there; most requests are answered elsewhere.
#[rstest]
fn decide_random_crashes(#[values(1, 2, 3, 4, 5)] seed: u64) {
    const CALLERS: u64 = 200;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = Ledger::default();
    let mut refused = 0;
    for step in 0..3_000_usize {
        let now = 100 * step as u64;
        if random.random_bool(0.1) {
            let suspects: Vec<_> = (0..5).map(|_| random.random_range(0..CALLERS)).collect();
            crash(&mut ledger, now, step, &suspects);
        }
        for fingerprint in 0..CALLERS {
            if random.random_bool(0.1) {
                refused += usize::from(is_refused(&mut ledger, now, fingerprint));
                if ledger.list().is_suspected(&of(fingerprint)) {
                    ledger.record(at(now), &Evidence::of_answer(of(fingerprint)));
                }
            }
        }
    }
    assert_eq!(refused, 0);
}

#[test]
fn report_unknown() {
    let ledger = Ledger::default();
    assert_eq!(ledger.report(at(0), Some(0)), Report::default());
}
