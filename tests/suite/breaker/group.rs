//! Tests of the breakers of one service.

use std::time::Duration;

use hemlockfield::balance::Duty;
use hemlockfield::balance::Rank;
use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::breaker::State;
use hemlockfield::health::Kind;
use hemlockfield::id::DomainId;
use hemlockfield::id::NodeId;

use super::circuit::ms;
use super::circuit::outcome;

const COUNT: usize = 12;

fn name(at: usize) -> compact_str::CompactString {
    compact_str::format_compact!("hull-{at:02}")
}

fn group(floor: f64) -> Group {
    let mut group = Group::new(floor);
    (0..COUNT).for_each(|at| group.join(name(at), 2));
    group
}

fn cut(group: &mut Group, now: Duration, at: usize) {
    group.record(now, &name(at), &outcome(Kind::Cut));
}

fn ejected(group: &Group) -> usize {
    group.weights().values().filter(|weight| **weight <= 0.0).count()
}

// Two thirds of the upstreams break an answer one after the other, more than the floor lets out.
// Half must stay in use: the four sound ones, and as a last resort the two that broke an answer
// least recently.
#[test]
fn weights_many_at_fault() {
    let mut group = group(0.5);
    for at in 0..8 {
        cut(&mut group, ms(100 * at as u64), at);
    }
    assert_eq!(ejected(&group), 6);
    assert_eq!(group.weights().get(&name(7)), Some(&0.0));
    let suspects: Vec<_> = group.suspects().into_iter().collect();
    assert_eq!(suspects, [name(0), name(1)]);
}

// No upstream is a last resort while fewer are out than the floor allows.
#[test]
fn suspects_below_floor() {
    let mut group = group(0.5);
    cut(&mut group, ms(0), 3);
    assert_eq!(ejected(&group), 1);
    assert!(group.suspects().is_empty());
}

// One upstream takes three times as long as the others. It must get a small share, enough to
// detect when it is fast again.
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

/// Simulates a third of the upstreams breaking 17 of 20 answers for `lasts`, with one entry
/// making all trials. Returns when the last breaker closed, and the number of failed trials.
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
            group.record_own(now, &trial.upstream, &Counts::from_trial(kind, ms(20)));
        }
        let closed = |at: &usize| group.state(&name(*at)) == State::Closed;
        if now >= lasts && (0..bad).all(|at| closed(&at)) {
            return (now, failed);
        }
    }
    panic!("not back after 20 s");
}

// Four of twelve upstreams break most answers for ten seconds. Less than a sixth of the 600
// requests in that time may go to failed trials, which the retry budget of a fifth covers. All
// breakers must close within two seconds of the end, before queues build up at the other
// upstreams.
#[test]
fn trials_long_fault() {
    let (closed_at, failed) = replay(ms(10_000));
    assert!(closed_at <= ms(12_000), "{closed_at:?}");
    assert!(failed <= 100, "{failed}");
}

// A fault lasts for one second. All breakers must close within another second and a half.
#[test]
fn trials_short_fault() {
    let (closed_at, _) = replay(ms(1_000));
    assert!(closed_at <= ms(2_500), "{closed_at:?}");
}

// An upstream that was removed must get no trials and take no part in the floor.
#[test]
fn leave_open() {
    let mut group = group(0.5);
    cut(&mut group, ms(0), 1);
    group.leave(&name(1));
    group.tick(ms(5_000));
    assert!(group.trials().is_empty());
    assert_eq!(ejected(&group), 0);
}

// All upstreams are overloaded, and each lets every fifth request time out. Taking them out for
// that leaves the others even less time, until half are out and the rest answers nobody: at twice
// the usual load one non-idempotent request in six was lost.
#[test]
fn record_hung_all_overloaded() {
    let mut group = group(0.5);
    for round in 0..40 {
        for at in 0..COUNT {
            let kind = if (round + at) % 5 == 0 { Kind::Silent } else { Kind::Success };
            group.record(ms(100 * round as u64), &name(at), &outcome(kind));
        }
    }
    let affected = ejected(&group) + group.suspects().len();
    assert!(affected <= 2, "{affected} are out");
}

// One upstream hangs its requests. The first hung request must open its breaker if the others
// answer; if the others are overloaded, the breaker must open once most of its requests have
// hung.
#[test]
fn record_hung_one() {
    let mut idle = group(0.5);
    idle.record(ms(0), &name(0), &outcome(Kind::Silent));
    assert_eq!(ejected(&idle), 1);
    let mut overloaded = group(0.5);
    for round in 0..20 {
        for at in 1..COUNT {
            let kind = if (round + at) % 5 == 0 { Kind::Silent } else { Kind::Success };
            overloaded.record(ms(100 * round as u64), &name(at), &outcome(kind));
        }
        overloaded.record(ms(100 * round as u64), &name(0), &outcome(Kind::Silent));
    }
    assert_eq!(overloaded.weights().get(&name(0)), Some(&0.0));
}

// A request takes five times as long as usual, counts as hung after a second, and is then
// answered in full. The breaker must close at once: waiting for non-idempotent trials, the sound
// upstream had no load for seconds while others were full.
#[test]
fn record_overdue_answered() {
    let mut group = group(0.5);
    let overdue = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    group.record_own(ms(1_000), &name(3), &overdue);
    assert_eq!(ejected(&group), 1);
    group.record_own(ms(1_400), &name(3), &Counts::from_outcome(Kind::Success, ms(1_400)));
    assert_eq!(group.state(&name(3)), State::Closed);
}

// The entry whose request was slow reports that it was answered. An entry that receives the
// overdue request and its answer together must not open the breaker.
#[test]
fn record_cleared_at_other_entry() {
    let overdue = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    let cleared = Counts { cleared: 1, ..Counts::from_outcome(Kind::Success, ms(1_400)) };
    let mut group = group(0.5);
    group.record(ms(1_000), &name(3), &overdue);
    assert_eq!(ejected(&group), 1);
    group.record(ms(1_400), &name(3), &cleared);
    assert_eq!(ejected(&group), 0);
    let mut both = overdue;
    both.add(&cleared);
    group.record(ms(2_000), &name(4), &both);
    assert_eq!(ejected(&group), 0);
}

// One request timed out, another was slow and then answered. The timeout is certain, so the
// breaker must stay open.
#[test]
fn record_answered_beside_hung() {
    let mut group = group(0.5);
    let overdue = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    group.record_own(ms(1_000), &name(3), &overdue);
    group.record_own(ms(2_000), &name(3), &Counts::from_outcome(Kind::Timeout, ms(2_000)));
    group.record_own(ms(2_100), &name(3), &Counts::from_outcome(Kind::Success, ms(1_400)));
    assert_eq!(ejected(&group), 1);
}

// A broken answer opened the breaker. The complete answer to an earlier slow request must not
// close it.
#[test]
fn record_answered_after_cut() {
    let mut group = group(0.5);
    cut(&mut group, ms(1_000), 3);
    group.record_own(ms(1_400), &name(3), &Counts::from_outcome(Kind::Success, ms(1_400)));
    assert_eq!(ejected(&group), 1);
}

// A request hung while the upstream was at fault. Two trials that began after it succeeded and closed the
// breaker. Its caller gives up later: that must not take the sound upstream out again.
#[test]
fn record_hung_from_before_trials() {
    let mut group = group(0.5);
    let overdue = Counts { hung: 1, overdue: 1, waited: 1_000, ..Counts::default() };
    group.record(ms(2_000), &name(3), &overdue);
    group.tick(ms(2_400));
    let passed = Counts::from_trial(Kind::Success, ms(200));
    group.record(ms(2_600), &name(3), &passed);
    group.record(ms(2_700), &name(3), &passed);
    assert_eq!(group.state(&name(3)), State::Closed);
    group.record(ms(4_000), &name(3), &Counts::from_outcome(Kind::Silent, ms(3_000)));
    assert_eq!(group.state(&name(3)), State::Closed);
    group.record(ms(4_000), &name(3), &Counts::from_outcome(Kind::Silent, ms(1_200)));
    assert_ne!(group.state(&name(3)), State::Closed);
}

/// A group that knows of many requests at all upstreams but one.
fn group_with_idle(rank: Rank, idle: usize) -> Group {
    let mut group = group(0.5);
    (0..COUNT).for_each(|at| group.set_rank(&name(at), rank));
    for round in 0..10 {
        for at in (0..COUNT).filter(|at| *at != idle || round == 0) {
            group.record(ms(round * 200), &name(at), &outcome(Kind::Success));
        }
    }
    group
}

/// Rank of an entry that has `place` others before it, of ten.
fn rank_at(place: u32) -> Rank {
    let domain = DomainId::default();
    let ids: Vec<NodeId> = (0..10).map(|at| compact_str::format_compact!("e{at}")).collect();
    let rank_of = |id| Rank::of(id, ids.iter().map(|it| (it, &domain)), "one", &domain);
    ids.iter().map(rank_of).find(|rank| rank.place() == Some(place)).expect("an entry")
}

// The first entry of an upstream must send it requests whatever it hears: what others tell of is old.
#[test]
fn duties_first() {
    let group = group_with_idle(Rank::ALONE, 5);
    assert!(group.duties(ms(2_000)).values().all(|duty| *duty == Duty::First));
    assert_eq!(group.duties(ms(2_000)).len(), COUNT);
}

// The entries that usually send to an upstream are killed, or lose the path. The second one must see
// to it, and to no other that gets enough of all.
#[test]
fn duties_second() {
    let group = group_with_idle(rank_at(1), 5);
    assert_eq!(group.duties(ms(2_000)), [(name(5), Duty::Second)].into());
}

// An entry that callers are not told of gets few requests, and leaves idle upstreams to the others.
#[test]
fn duties_outside_of_line() {
    assert!(group_with_idle(Rank::default(), 5).duties(ms(2_000)).is_empty());
}

// Two entries that stood first had lost the path to an upstream, and the third one, which had all the
// callers, sent it nothing.
#[test]
fn duties_unreached() {
    let mut group = group_with_idle(rank_at(2), COUNT);
    assert!(group.duties(ms(2_000)).is_empty());
    group.record(ms(2_000), &name(5), &outcome(Kind::ConnectFailed));
    assert_eq!(group.duties(ms(2_100)), [(name(5), Duty::Second)].into());
}

// All entries in turn sent their requests to an upstream of which nothing was known, and filled it.
#[test]
fn duties_few_entries() {
    let group = group(0.5);
    let are_due = |place| {
        let mut group = group.clone();
        (0..COUNT).for_each(|at| group.set_rank(&name(at), rank_at(place)));
        !group.duties(ms(60_000)).is_empty()
    };
    assert_eq!((0..10).filter(|place| are_due(*place)).collect::<Vec<_>>(), [0, 1, 2, 3]);
}
