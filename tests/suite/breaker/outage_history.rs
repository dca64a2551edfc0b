//! Tests of when trials begin, given the duration of past outages.

use hemlockfield::balance::Rank;
use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::breaker::OutageHistory;
use hemlockfield::breaker::Trial;
use hemlockfield::health::Kind;
use hemlockfield::id::DomainId;
use hemlockfield::id::NodeId;
use hemlockfield::id::UpstreamId;
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
    let mut group = Group::new(0.5);
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
            group.record_own(ms(now), &trial.upstream, &Counts::from_trial(kind, ms(20)));
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

// Nine of ten upstreams recover within seconds; the tenth stays faulty, and no idempotent request has
// tried it yet. Losses stay low: forty of forty-one requests are answered. A non-idempotent request
// must try the tenth two seconds after its failure all the same: what entries lose when they are
// killed shows too late. Idempotent trials of others must not put it off, and it must not come sooner.
#[rstest]
fn trials_non_idempotent(#[values(true, false)] has_idempotent: bool) {
    let mut group = Group::new(0.5);
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
                group.record(ms(now), &other, &Counts::from_trial(Kind::Success, ms(20)))
            }
            _ => false,
        };
        let allows_any = |trial: &Trial| trial.allows_any && trial.upstream == name(0);
        if first.is_none() && group.trials().iter().any(allows_any) {
            first = Some(now);
        }
    }
    let first = first.expect("a trial");
    assert!((2_100..2_200).contains(&first), "{first}");
}

/// Group of one of three entries, of which `rank` come before it, with an upstream that failed at 0.
fn group_at(rank: usize) -> Group {
    let domain = DomainId::default();
    let ids: Vec<NodeId> = (0..3).map(|at| compact_str::format_compact!("e{at}")).collect();
    let upstream: UpstreamId = "hull-1".into();
    let rank_of = |id| Rank::of(id, ids.iter().map(|it| (it, &domain)), &upstream, &domain);
    let rank = ids.iter().map(rank_of).find(|it| it.turn(0) == rank as u32).expect("a rank");
    let mut group = Group::new(0.5);
    group.join(upstream.clone(), 4);
    group.join("hull-2".into(), 4);
    group.set_rank(&upstream, rank);
    group.record(ms(0), &upstream, &outcome(Kind::Cut));
    group
}

/// When a group has a trial for any request, if nothing else happens.
fn first_trial(group: &mut Group, from: u64) -> Option<u64> {
    (from..10_000).step_by(10).find(|now| {
        group.tick(ms(*now));
        group.trials().iter().any(|trial| trial.allows_any)
    })
}

// An entry without requests lets its trial lapse, and an upstream had none for seconds. The next
// entry in the order must take over soon, and all before the upstream must have had a request.
#[rstest]
#[case::first(0, 2_100)]
#[case::second(1, 2_350)]
#[case::third(2, 2_600)]
fn trials_take_turns(#[case] rank: usize, #[case] due: u64) {
    assert_eq!(first_trial(&mut group_at(rank), 0), Some(due));
}

// Two entries made the same trial, and both lost a request. Told that one began, the next in the order
// must wait for its outcome; if none comes, as the entry was killed, it must take over.
#[test]
fn trials_begun_elsewhere() {
    let mut group = group_at(1);
    group.tick(ms(3_000));
    group.record(ms(3_100), &"hull-1".into(), &Counts::from_trial_start());
    assert_eq!(first_trial(&mut group, 3_110), Some(4_100));
}

// The path of one entry to an upstream is cut. Its trials, for which no connection opens, must not
// put off those of the others.
#[test]
fn trials_missed_elsewhere() {
    let mut group = group_at(1);
    group.tick(ms(3_000));
    group.record(ms(3_100), &"hull-1".into(), &Counts::from_trial_start());
    let missed = Counts::from_trial(Kind::ConnectFailed, ms(250));
    group.record(ms(3_400), &"hull-1".into(), &missed);
    assert_eq!(first_trial(&mut group, 3_410), Some(3_410));
}

// The first entry in the order lost a request by its trial, perhaps because of its own path. The next
// trial must be that of the second one.
#[test]
fn trials_next_round() {
    let mut group = group_at(1);
    group.tick(ms(3_000));
    group.record(ms(3_100), &"hull-1".into(), &Counts::from_trial(Kind::Cut, ms(20)));
    assert_eq!(first_trial(&mut group, 3_110), Some(5_200));
}

// Three in ten of many upstreams fail at any time, and each trial of one loses a request. Where so few are
// out that all of them may be idle, trials must have time; where most are, there must be time for a
// second trial if the first one is lost.
#[rstest]
#[case::few(27, 5_000)]
#[case::more(28, 3_000)]
#[case::most(51, 2_100)]
fn trials_by_share_out(#[case] out: usize, #[case] due: u64) {
    let name = |at: usize| compact_str::format_compact!("hull-{at}");
    let mut group = Group::new(0.5);
    (0..100).for_each(|at| group.join(name(at), 4));
    for at in 0..out {
        group.record(ms(0), &name(at), &outcome(Kind::Cut));
    }
    assert_eq!(first_trial(&mut group, 0), Some(due));
}

// The entry of a trial was killed, and the one after that as well. The third one must make it in time.
#[test]
fn trials_lost_twice() {
    let mut group = group_at(2);
    group.tick(ms(3_000));
    group.record(ms(3_100), &"hull-1".into(), &Counts::from_trial_start());
    group.tick(ms(3_500));
    group.record(ms(4_200), &"hull-1".into(), &Counts::from_trial_start());
    assert_eq!(first_trial(&mut group, 4_210), Some(5_200));
}
