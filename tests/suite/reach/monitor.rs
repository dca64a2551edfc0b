//! Decisions about a path in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::reach::Check;
use hemlockfield::reach::Verdict;
use rstest::rstest;

use super::entry::Entry;
use super::entry::Fate;
use super::entry::STEP;
use super::entry::failure;
use super::entry::ms;
use super::entry::secs;
use super::entry::service;

// An entry that is cut off must know it soon, whether connections hang or are reset, and with few
// upstreams too.
#[rstest]
fn is_lost_cut(
    #[values(Fate::Hang, Fate::Reset)] fate: Fate,
    #[values((1, 1), (2, 2), (4, 2), (36, 4))] (count, domains): (usize, usize),
    #[values(1, 2, 3)] seed: u64,
) {
    let mut entry = Entry::new(seed, count, domains);
    entry.run(secs(2), false, |_, _| Fate::Open);
    assert!(!entry.is_lost());
    entry.run(secs(2) + ms(700), false, |_, _| fate);
    assert!(entry.is_lost());
}

// What an entry that is cut off fails to reach is no evidence about the upstreams: other entries
// would take sound ones out.
#[rstest]
fn judge_cut(#[values(Fate::Hang, Fate::Reset)] fate: Fate, #[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    entry.run(secs(5), false, |_, _| fate);
    entry.run(secs(7), false, |_, _| Fate::Open);
    assert_eq!(entry.released, []);
}

// At a cut by resets, requests on open connections break at many upstreams before a connection fails
// to open. Reported, they would take half of the sound upstreams from all other entries.
#[rstest]
fn judge_reset_connections(#[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    entry.break_connections(8);
    entry.run(secs(3), false, |_, _| Fate::Reset);
    assert!(entry.is_lost());
    entry.run(secs(5), false, |_, _| Fate::Open);
    assert_eq!(entry.released, []);
}

// Upstreams that break answers are found out without delay: a connection to another one shows that
// the path is there.
#[rstest]
fn judge_broken_answers(#[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    let opened = entry.opened;
    entry.break_connections(3);
    entry.run(secs(2) + STEP, true, |_, _| Fate::Open);
    assert_eq!(entry.released.len(), 3);
    assert_eq!(entry.opened - opened, 1, "one connection shows it");
    assert!(entry.reports.is_empty());
}

// An answer shows that the path is there as well, without a connection.
#[test]
fn judge_broken_beside_answers() {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    let opened = entry.opened;
    entry.break_connections(1);
    let check = Check { service: service(), upstream: "hull-9".into() };
    let released = entry.monitor.judge(entry.now, failure(&check, Kind::Success, ms(100)));
    assert_eq!(released.len(), 2, "the broken answer and this one");
    entry.run(secs(3), true, |_, _| Fate::Open);
    assert_eq!(entry.opened, opened);
}

// Requests that were sent before the path was lost and end after its return say nothing of their
// upstreams either.
#[test]
fn judge_sent_before_return() {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    entry.run(secs(4), false, |_, _| Fate::Hang);
    entry.run(secs(5), false, |_, _| Fate::Open);
    let check = Check { service: service(), upstream: "hull-1".into() };
    let silent = failure(&check, Kind::Silent, ms(2500));
    assert_eq!(entry.monitor.judge(entry.now, silent), []);
    let later = failure(&check, Kind::Silent, ms(500));
    assert_eq!(entry.monitor.judge(entry.now, later.clone()), [later]);
}

// One upstream that crashed is found within the time that a connection to another one takes, and
// the path is never taken for lost.
#[rstest]
fn judge_one_crashed(#[values(Fate::Hang, Fate::Reset)] fate: Fate, #[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed, 36, 4);
    let crashed = move |now: Moment, upstream: &str| {
        if now >= secs(2) && upstream == "hull-7" { fate } else { Fate::Open }
    };
    entry.run(secs(12), false, crashed);
    assert!(entry.released.iter().all(|observation| observation.upstream == "hull-7"));
    assert!(!entry.released.is_empty());
    assert!(entry.reports.is_empty(), "{:?}", entry.reports);
}

// A whole failure domain of upstreams is down, the one that this entry prefers. The others are
// reached, so the entry is not at fault.
#[rstest]
fn is_lost_near_domain_down(#[values(Fate::Hang, Fate::Reset)] fate: Fate) {
    let mut entry = Entry::new(1, 36, 4);
    let near: BTreeSet<_> = entry
        .members
        .iter()
        .filter(|it| it.domain == "domain-0")
        .map(|it| it.upstream.clone())
        .collect();
    entry.run(secs(2), false, |_, _| Fate::Open);
    for at in 0..near.len() {
        let upstream = near.iter().nth(at).unwrap().clone();
        entry.fail(entry.now, &Check { service: service(), upstream });
    }
    assert!(!entry.is_lost());
    let down = |_: Moment, upstream: &str| if near.contains(upstream) { fate } else { Fate::Open };
    entry.run(secs(4), true, down);
    assert!(!entry.is_lost());
    assert!(entry.reports.is_empty(), "{:?}", entry.reports);
}

// Half of the upstreams crash at once. The path may be doubted for a moment, but an entry that
// still reaches half of them must not be reported as cut off.
#[test]
fn report_half_crashed() {
    let mut reported = 0;
    for seed in 0..100 {
        let mut entry = Entry::new(seed, 36, 4);
        let even = |upstream: &str| upstream.ends_with(['0', '2', '4', '6', '8']);
        entry.run(secs(10), false, |now, upstream| match now >= secs(2) && even(upstream) {
            true => Fate::Reset,
            false => Fate::Open,
        });
        reported += entry.reports.len();
    }
    assert_eq!(reported, 0);
}

// Requests of an entry with few callers wait on connections that have fallen silent, and none needs
// a new one. The entry must find out all the same.
#[test]
fn suspect_silent_connections() {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    let mut now = secs(2);
    while now < secs(4) {
        now += ms(100);
        entry.monitor.suspect(now, &service());
        entry.run(now, true, |_, _| Fate::Hang);
    }
    assert!(entry.is_lost());
}

// Requests that wait long while connections open are no reason for more than one connection a
// second.
#[test]
fn suspect_slow_upstreams() {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), true, |_, _| Fate::Open);
    let mut now = secs(2);
    while now < secs(12) {
        now += ms(100);
        entry.monitor.suspect(now, &service());
        entry.run(now, true, |_, _| Fate::Open);
    }
    assert!(!entry.is_lost());
    assert!(entry.opened <= 10, "{}", entry.opened);
}

// Open connections live on while no new one opens. Where no other entry helps, they are used.
#[test]
fn is_answering_open_connections() {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    let check = Check { service: service(), upstream: "hull-1".into() };
    entry.monitor.judge(entry.now, failure(&check, Kind::Success, ms(100)));
    entry.run(secs(3), false, |_, _| Fate::Hang);
    assert!(entry.is_lost());
    assert!(!entry.monitor.is_answering(entry.now, &service()), "the answer came before");
    entry.monitor.judge(entry.now, failure(&check, Kind::Success, ms(100)));
    assert!(entry.monitor.is_answering(entry.now, &service()));
    assert!(!entry.monitor.is_answering(entry.now + secs(3), &service()));
}

// The return costs no request of a caller: connections without one show it, and not many.
#[rstest]
fn checks_return(#[values(Fate::Hang, Fate::Reset)] fate: Fate, #[values(1, 2, 3)] seed: u64) {
    let mut entry = Entry::new(seed, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    entry.run(secs(3), false, |_, _| fate);
    entry.run(secs(10), true, |_, _| fate);
    assert!(entry.is_lost());
    let opened = entry.opened;
    entry.run(secs(10) + ms(700), true, |_, _| Fate::Open);
    assert!(!entry.is_lost());
    assert_eq!(entry.opened - opened, 2, "two upstreams show it");
    entry.run(secs(20), true, |_, _| Fate::Open);
    assert_eq!(entry.opened - opened, 2, "no checks without doubt");
}

// A path that comes and goes is reported as lost all the while. Each report changes the lists of
// all callers.
#[test]
fn report_flapping() {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), false, |_, _| Fate::Open);
    let flapping = |now: Moment, _: &str| match now.as_millis() / 1500 % 2 {
        0 => Fate::Open,
        _ => Fate::Reset,
    };
    entry.run(secs(20), false, flapping);
    assert_eq!(entry.reports.len(), 1, "{:?}", entry.reports);
    entry.run(secs(24), false, |_, _| Fate::Open);
    assert_eq!(entry.reports.len(), 2, "{:?}", entry.reports);
    assert_eq!(entry.reports[1].1, BTreeMap::new());
}

// An entry without callers tells whether it reaches a service when a control asks, without a
// request. Otherwise callers would be sent from one entry that is cut off to the next.
#[rstest]
#[case::reached(Fate::Open, Verdict::Reached)]
#[case::hang(Fate::Hang, Verdict::Lost)]
#[case::reset(Fate::Reset, Verdict::Lost)]
fn report_asked(#[case] fate: Fate, #[case] verdict: Verdict) {
    let mut entry = Entry::new(1, 36, 4);
    entry.run(secs(2), true, |_, _| fate);
    assert!(entry.reports.is_empty());
    entry.monitor.set_asked(&BTreeSet::from([service()]));
    entry.run(secs(3), true, |_, _| fate);
    let (at, verdicts) = entry.reports.last().unwrap().clone();
    assert_eq!(verdicts, BTreeMap::from([(service(), verdict)]));
    assert!(at <= secs(2) + ms(800), "{at:?}");
    entry.run(secs(10), true, |_, _| fate);
    assert_eq!(entry.reports.len(), 1, "{:?}", entry.reports);
}
