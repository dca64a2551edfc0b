//! Tests of when trials begin, given the duration of past outages.

use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::breaker::OutageHistory;
use hemlockfield::breaker::Trial;
use hemlockfield::health::Kind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::circuit::ms;
use super::circuit::outcome;

// With few outages, what they have in common may be chance: there must be no estimate.
#[test]
fn over_at_few() {
    let mut outages = OutageHistory::default();
    (0..5).for_each(|_| outages.add(ms(7_000)));
    assert_eq!(outages.over_at(ms(0), 0.5), None);
    outages.add(ms(7_000));
    assert_eq!(outages.over_at(ms(0), 0.5), Some(ms(7_000)));
}

// One outage in four is a single broken answer, the others last seven or eight seconds. One in
// six is over at once, so that an idempotent request may try early; a non-idempotent one waits
// for seven seconds. An outage that has lasted two seconds is one of the long ones.
#[test]
fn over_at_short_and_long() {
    let mut outages = OutageHistory::default();
    (0..8).for_each(|_| outages.add(ms(200)));
    (0..16).for_each(|_| outages.add(ms(7_000)));
    (0..8).for_each(|_| outages.add(ms(8_000)));
    assert_eq!(outages.over_at(ms(0), 0.15), Some(ms(200)));
    assert_eq!(outages.over_at(ms(0), 0.5), Some(ms(7_000)));
    assert_eq!(outages.over_at(ms(2_000), 0.15), Some(ms(7_000)));
    assert_eq!(outages.over_at(ms(7_500), 0.15), Some(ms(8_000)));
}

/// Failed trials in each of `rounds` outages of seven seconds, and the longest time in
/// milliseconds from the end of an outage until the upstream is in use.
fn replay(rounds: u64) -> (Vec<usize>, u64) {
    let mut group = Group::new(0.5, ChaCha8Rng::seed_from_u64(5));
    group.join("hull-1".into(), 4);
    group.join("hull-2".into(), 4);
    let mut failed = vec![0; rounds as usize];
    let mut longest = 0;
    let mut made = 0;
    for now in (0..rounds * 20_000).step_by(50) {
        let (round, at) = (now / 20_000, now % 20_000);
        if at == 0 {
            group.record(ms(now), &"hull-1".into(), &outcome(Kind::Cut));
        }
        group.tick(ms(now));
        for trial in group.trials() {
            if trial.number <= made {
                continue;
            }
            made = trial.number;
            let kind = if at < 7_000 { Kind::Cut } else { Kind::Success };
            failed[round as usize] += usize::from(kind == Kind::Cut);
            group.record_own(ms(now), &trial.upstream, &Counts::from_trial(kind, ms(20), true));
        }
        let is_out = group.weights().contains_key("hull-1");
        if at >= 7_000 && is_out {
            longest = longest.max(at - 7_000);
        }
    }
    (failed, longest)
}

// An upstream repeatedly breaks its answers for seven seconds. At first a dozen trials fail in an
// outage. Once the usual duration is known, trials must begin later, and the upstream must return
// just as soon.
#[test]
fn trials_after_known_outages() {
    let (failed, longest) = replay(12);
    assert!(failed[0] >= 10, "{failed:?}");
    assert!(failed[8..].iter().all(|failed| *failed <= 6), "{failed:?}");
    assert!(longest <= 1_500, "{longest} ms");
}

// Nine of ten upstreams recover within seconds, as idempotent trials show; the tenth stays
// faulty, and no idempotent request has tried it yet. Losses stay low: forty of forty-one
// requests are answered. A non-idempotent request must try the tenth only after eight seconds, or
// after three if the service has no idempotent requests.
#[rstest]
#[case::idempotent(true, 8_000)]
#[case::none(false, 3_000)]
fn trials_non_idempotent(#[case] has_idempotent: bool, #[case] from: u64) {
    let mut group = Group::new(0.5, ChaCha8Rng::seed_from_u64(5));
    let name = |at: usize| compact_str::format_compact!("hull-{at}");
    (0..10).for_each(|at| group.join(name(at), 4));
    group.record(ms(0), &name(0), &outcome(Kind::Cut));
    let mut first = None;
    let answered = Counts { answered: 2, millis: 40, ..Counts::default() };
    for now in (0..12_000).step_by(50) {
        group.record(ms(now), &name(1 + now as usize / 50 % 9), &answered);
        group.tick(ms(now));
        let other = name(1 + now as usize / 1_000 % 9);
        match now % 1_000 {
            0 => group.record(ms(now), &other, &outcome(Kind::Cut)),
            400 | 450 if has_idempotent => {
                group.record(ms(now), &other, &Counts::from_trial(Kind::Success, ms(20), true))
            }
            _ => false,
        };
        let allows_any = |trial: &Trial| trial.allows_any && trial.upstream == name(0);
        if first.is_none() && group.trials().iter().any(allows_any) {
            first = Some(now);
        }
    }
    let first = first.expect("a trial");
    assert!((from..from + 400).contains(&first), "{first}");
}

// Two non-idempotent trials closed a breaker, and a third one ends afterwards. It must not count
// as an idempotent trial, which would delay the trial of the other open breaker from four to
// eight seconds.
#[test]
fn trials_non_idempotent_late_success() {
    let mut group = Group::new(0.5, ChaCha8Rng::seed_from_u64(5));
    let name = |at: usize| compact_str::format_compact!("hull-{at}");
    (0..10).for_each(|at| group.join(name(at), 4));
    group.record(ms(0), &name(1), &outcome(Kind::Cut));
    let passed = Counts::from_trial(Kind::Success, ms(20), false);
    let mut first = None;
    for now in (0..16_000).step_by(50) {
        group.tick(ms(now));
        match now {
            4_500 => group.record(ms(now), &name(0), &outcome(Kind::Cut)),
            4_600 | 4_700 => group.record(ms(now), &name(1), &passed),
            5_000 | 7_000 | 9_000 => group.record(ms(now), &name(1), &passed),
            _ => false,
        };
        let allows_any = |trial: &Trial| trial.allows_any && trial.upstream == name(0);
        if first.is_none() && group.trials().iter().any(allows_any) {
            first = Some(now);
        }
    }
    assert!(first.is_some_and(|first| first < 9_000), "{first:?}");
}
