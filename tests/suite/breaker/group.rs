//! The breakers of one service, on a replayed load.

use std::time::Duration;

use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::breaker::State;
use hemlockfield::health::Kind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::circuit::ms;
use super::circuit::one;

const COUNT: usize = 12;

fn name(at: usize) -> compact_str::CompactString {
    compact_str::format_compact!("hull-{at:02}")
}

fn group(floor: f64) -> Group {
    let mut group = Group::new(floor, ChaCha8Rng::seed_from_u64(7));
    (0..COUNT).for_each(|at| group.join(name(at), 2));
    group
}

fn cut(group: &mut Group, now: Duration, at: usize) {
    group.record(now, &name(at), &one(Kind::Cut));
}

fn out(group: &Group) -> usize {
    group.weights().values().filter(|weight| **weight <= 0.0).count()
}

// Two thirds of the upstreams break an answer, one after the other: more than may be out. Half
// stay in use. Those that have been well for longest are kept, and only as the last choice, so
// that callers get the four sound ones first.
#[test]
fn weights_many_at_fault() {
    let mut group = group(0.5);
    for at in 0..8 {
        cut(&mut group, ms(100 * at as u64), at);
    }
    assert_eq!(out(&group), 6);
    assert_eq!(group.weights().get(&name(7)), Some(&0.0));
    let suspects: Vec<_> = group.suspects().into_iter().collect();
    assert_eq!(suspects, [name(0), name(1)]);
}

// Nothing is suspect while the floor does not bind.
#[test]
fn suspects_below_floor() {
    let mut group = group(0.5);
    cut(&mut group, ms(0), 3);
    assert_eq!(out(&group), 1);
    assert!(group.suspects().is_empty());
}

// Answers of one upstream take three times as long as those of the others. It gets a little
// work, to show when it is fast again, and none is lost.
#[test]
fn weights_slow() {
    let mut group = group(0.5);
    for round in 0..6 {
        for at in 0..COUNT {
            let took = if at == 5 { ms(600) } else { ms(200) };
            group.record(ms(round * 100), &name(at), &Counts::from_outcome(Kind::Success, took));
        }
    }
    let weights = group.weights();
    assert_eq!(weights.len(), 1);
    assert!((0.05..0.5).contains(&weights[&name(5)]), "{weights:?}");
}

/// Replays a load: a third of the upstreams cut 17 of 20 answers for `lasts`, each in turn for
/// the entry that tries it. Gives when the last of them was back, and the trials that failed.
fn replay(lasts: Duration) -> (Duration, usize) {
    let mut group = group(0.5);
    let bad = COUNT / 3;
    (0..bad).for_each(|at| cut(&mut group, ms(0), at));
    let mut failed = 0;
    let mut made = 0;
    for step in 0..400 {
        let now = ms(step * 50);
        group.tick(now);
        for trial in group.trials() {
            if trial.number <= made {
                continue;
            }
            made = trial.number;
            let kind = if now < lasts && made % 7 != 0 { Kind::Cut } else { Kind::Success };
            failed += usize::from(kind == Kind::Cut);
            group.record_own(now, &trial.upstream, &Counts::from_trial(kind, ms(20), true));
        }
        let closed = |at: &usize| group.state(&name(*at)) == State::Closed;
        if now >= lasts && (0..bad).all(|at| closed(&at)) {
            return (now, failed);
        }
    }
    panic!("not back after 20 s");
}

// Four of twelve upstreams cut most answers for ten seconds. Of the 600 requests that such a
// service gets meanwhile less than a sixth is spent on trials that fail, which the budget of a
// fifth has sent again; once the fault is over all are back within two seconds, before what
// they should have done has queued up at the others.
#[test]
fn trials_of_a_long_fault() {
    let (back, failed) = replay(ms(10_000));
    assert!(back <= ms(12_000), "{back:?}");
    assert!(failed <= 100, "{failed}");
}

// The same fault lasts for a second only: all are back a second and a half later.
#[test]
fn trials_of_a_short_fault() {
    let (back, _) = replay(ms(1_000));
    assert!(back <= ms(2_500), "{back:?}");
}

// Upstreams come and go; one that is gone is not tried, and its service needs no room for it.
#[test]
fn leave_open() {
    let mut group = group(0.5);
    cut(&mut group, ms(0), 1);
    group.leave(&name(1));
    group.tick(ms(5_000));
    assert!(group.trials().is_empty());
    assert_eq!(out(&group), 0);
}

// All upstreams have more work than they can do, and each lets every fifth request run out of
// time. Taken out for that, they leave the others still less time, until half are out and the
// rest answers nobody: callers of a site at twice its usual load lost one order in six so.
#[test]
fn record_hung_all_full() {
    let mut group = group(0.5);
    for round in 0..40 {
        for at in 0..COUNT {
            let kind = if (round + at) % 5 == 0 { Kind::Silent } else { Kind::Success };
            group.record(ms(100 * round as u64), &name(at), &one(kind));
        }
    }
    let few = out(&group) + group.suspects().len();
    assert!(few <= 2, "{few} are out");
}

// One upstream hangs its requests while the others answer. The first one that hangs takes it
// out, and so does it among others that are full, once most of what it got has hung.
#[test]
fn record_hung_one() {
    let mut calm = group(0.5);
    calm.record(ms(0), &name(0), &one(Kind::Silent));
    assert_eq!(out(&calm), 1);
    let mut full = group(0.5);
    for round in 0..20 {
        for at in 1..COUNT {
            let kind = if (round + at) % 5 == 0 { Kind::Silent } else { Kind::Success };
            full.record(ms(100 * round as u64), &name(at), &one(kind));
        }
        full.record(ms(100 * round as u64), &name(0), &one(Kind::Silent));
    }
    assert_eq!(full.weights().get(&name(0)), Some(&0.0));
}

// A request takes five times as long as usual and counts as hung after a second; a moment later
// it is answered whole. The upstream served all along, and is back at once: with trials by
// requests that may run once it had no work for seconds, while others were full.
#[test]
fn record_answered_after_all() {
    let mut group = group(0.5);
    let waits = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    group.record_own(ms(1_000), &name(3), &waits);
    assert_eq!(out(&group), 1);
    group.record_own(ms(1_400), &name(3), &Counts::from_outcome(Kind::Success, ms(1_400)));
    assert_eq!(group.state(&name(3)), State::Closed);
}

// The entry whose request was slow tells the others; one that hears of the wait and of its end
// at once takes nothing out.
#[test]
fn record_cleared_elsewhere() {
    let waits = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    let cleared = Counts { cleared: 1, ..Counts::from_outcome(Kind::Success, ms(1_400)) };
    let mut group = group(0.5);
    group.record(ms(1_000), &name(3), &waits);
    assert_eq!(out(&group), 1);
    group.record(ms(1_400), &name(3), &cleared);
    assert_eq!(out(&group), 0);
    let mut both = waits;
    both.add(&cleared);
    group.record(ms(2_000), &name(4), &both);
    assert_eq!(out(&group), 0);
}

// A request hangs, and its caller gives up; another one was slow, and is answered whole. That one
// hung is certain, so the upstream stays out.
#[test]
fn record_answered_beside_hung() {
    let mut group = group(0.5);
    let waits = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    group.record_own(ms(1_000), &name(3), &waits);
    group.record_own(ms(2_000), &name(3), &Counts::from_outcome(Kind::Timeout, ms(2_000)));
    group.record_own(ms(2_100), &name(3), &Counts::from_outcome(Kind::Success, ms(1_400)));
    assert_eq!(out(&group), 1);
}

// An upstream was taken out for a broken answer. That a slow one from before comes whole is no
// reason to take it back.
#[test]
fn record_answered_after_cut() {
    let mut group = group(0.5);
    cut(&mut group, ms(1_000), 3);
    group.record_own(ms(1_400), &name(3), &Counts::from_outcome(Kind::Success, ms(1_400)));
    assert_eq!(out(&group), 1);
}
