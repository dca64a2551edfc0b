//! Tests of `hemlockfield::poison`.

use std::time::Duration;

use compact_str::format_compact;
use hemlockfield::clock::Moment;
use hemlockfield::poison::Checks;
use hemlockfield::poison::Decision;
use hemlockfield::poison::Evidence;
use hemlockfield::poison::Fingerprint;
use hemlockfield::poison::How;
use hemlockfield::poison::Identity;
use hemlockfield::poison::Ledger;
use hemlockfield::poison::Parts;
use hemlockfield::poison::Place;
use hemlockfield::poison::Report;
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
    let place = Place::Upstream(format_compact!("i-{upstream}"));
    ledger.record(at(millis), &Evidence::of_crash(place, suspects.into_iter().collect()));
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
    let mut ledger = Ledger::default();
    for number in 0..3 {
        crash_under(&mut ledger, 400 * number, number as usize, [from(1, FATAL)]);
    }
    assert!(is_refused_from(&mut ledger, 2_000, &from(1, FATAL)));
    assert!(!is_refused_from(&mut ledger, 2_000, &from(2, FATAL)));
}

// One caller's request is in quarantine, and then another caller's like it ends an upstream.
#[test]
fn decide_second_caller() {
    let mut ledger = Ledger::default();
    for number in 0..3 {
        crash_under(&mut ledger, 400 * number, number as usize, [from(1, FATAL)]);
    }
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
        let evidence = Evidence::of_crash(Place::Service("hull".into()), vec![of(HOT)]);
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
        let evidence = Evidence::of_crash(Place::Service("hull".into()), vec![of(FATAL)]);
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

// One look serves all requests that were lost at an upstream.
#[test]
fn begin_twice() {
    let (mut checks, upstream) = (Checks::default(), "i-1".into());
    checks.record(at(0), &upstream, of(FATAL), How::Broken);
    assert!(checks.begin(at(0), &upstream));
    checks.record(at(10), &upstream, of(HOT), How::Broken);
    assert!(!checks.begin(at(10), &upstream));
    assert_eq!(checks.take(at(100), &upstream), [of(FATAL), of(HOT)]);
    assert!(!checks.begin(at(100), &upstream));
}

// An upstream hung under a request that was given up, was found alive, and ended some time later.
#[test]
fn take_given_up() {
    let (mut checks, upstream) = (Checks::default(), "i-1".into());
    checks.record(at(0), &upstream, of(FATAL), How::GivenUp);
    assert!(checks.begin(at(0), &upstream));
    checks.end(&upstream);
    assert!(checks.begin(at(2_000), &upstream));
    assert_eq!(checks.take(at(2_100), &upstream), [of(FATAL)]);
    checks.record(at(3_000), &upstream, of(FATAL), How::GivenUp);
    assert_eq!(checks.take(at(9_000), &upstream), []);
}

// All paths to a service were lost without a sign, and what was given up on them was held to be lost at a crash.
#[test]
fn take_broken_given_up() {
    let (mut checks, upstream) = (Checks::default(), "i-1".into());
    checks.record(at(0), &upstream, of(HOT), How::GivenUp);
    checks.record(at(0), &upstream, of(FATAL), How::Broken);
    assert_eq!(checks.take_broken(at(100), &upstream), [of(FATAL)]);
}

#[test]
fn report_unknown() {
    let ledger = Ledger::default();
    assert_eq!(ledger.report(at(0), Some(0)), Report::default());
}
