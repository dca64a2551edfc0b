use std::collections::BTreeMap;
use std::time::Duration;

use hemlockfield::balance::Picker;
use hemlockfield::balance::Request;
use hemlockfield::balance::State;
use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;

use super::finish;
use super::member;
use super::name;
use super::picker;
use super::ready;

const INTERVAL: Duration = Duration::from_millis(10);
const LATENCY: Duration = Duration::from_millis(25);
/// Less than what is assumed of an upstream that was not measured.
const FAST: Duration = Duration::from_millis(6);

/// Sends `count` requests one after another; returns how many each upstream got.
fn send(
    picker: &mut Picker,
    from: Moment,
    count: u32,
    latency: fn(&str) -> Duration,
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for index in 0..count {
        let now = from + INTERVAL * index;
        if let Some(pick) = picker.pick(now, &Request::default()) {
            *counts.entry(pick.upstream.to_string()).or_default() += 1;
            let latency = latency(&pick.upstream);
            picker.finish(now, pick.ticket, finish(Kind::Success, latency));
        }
    }
    counts
}

fn share(counts: &BTreeMap<String, u32>, upstream: &str) -> f64 {
    let all: u32 = counts.values().sum();
    f64::from(counts.get(upstream).copied().unwrap_or_default()) / f64::from(all)
}

/// One of eight upstreams takes ten times as long. Round robin would send it an eighth of the
/// requests; it must get far fewer, but enough to detect when it recovers.
#[test]
fn pick_slow_upstream() {
    let mut picker = picker(0, 44, &ready(8));
    let slow = |upstream: &str| if upstream == "u03" { LATENCY * 10 } else { LATENCY };
    send(&mut picker, Moment::ZERO, 4_000, slow);
    let counts = send(&mut picker, INTERVAL * 4_000, 4_000, slow);
    assert!(share(&counts, "u03") < 0.02, "{counts:?}");
    let counts = send(&mut picker, INTERVAL * 8_000, 40_000, |_| LATENCY);
    assert!(share(&counts, "u03") > 0.04, "{counts:?}");
}

/// Other entries fill one upstream, which refuses a request. The next requests must go elsewhere
/// at once, and return when it takes requests again.
#[test]
fn pick_full_upstream() {
    let mut picker = picker(0, 44, &ready(8));
    send(&mut picker, Moment::ZERO, 1_000, |_| LATENCY);
    let mut now = INTERVAL * 1_000;
    let busy = loop {
        let pick = picker.pick(now, &Request::default()).expect("an idle upstream");
        if pick.upstream == "u03" {
            break pick;
        }
        picker.finish(now, pick.ticket, finish(Kind::Success, LATENCY));
    };
    picker.finish(now, busy.ticket, finish(Kind::Refused, Duration::from_millis(2)));
    for _ in 0..200 {
        let pick = picker.pick(now, &Request::default()).expect("an idle upstream");
        assert_ne!(pick.upstream, "u03");
        picker.finish(now, pick.ticket, finish(Kind::Success, LATENCY));
    }
    now += INTERVAL;
    let counts = send(&mut picker, now, 2_000, |_| LATENCY);
    assert!(share(&counts, "u03") > 0.08, "{counts:?}");
}

/// While an upstream refuses, the limit on this entry's in-flight requests there must fall to
/// one, and then grow again with successes.
#[test]
fn pick_limit_after_refusals() {
    let mut picker = picker(0, 44, &ready(1));
    let mut fill = |now: Moment, kind: Kind| {
        let mut picks = Vec::new();
        while let Some(pick) = picker.pick(now, &Request::default()) {
            picks.push(pick);
        }
        let count = picks.len();
        for pick in picks {
            picker.finish(now, pick.ticket, finish(kind, LATENCY));
        }
        count
    };
    assert_eq!(fill(Moment::ZERO, Kind::Success), 4);
    for second in 1..5 {
        fill(Duration::from_secs(second), Kind::Refused);
    }
    assert_eq!(fill(Duration::from_secs(5), Kind::Success), 1);
    for second in 6..20 {
        fill(Duration::from_secs(second), Kind::Success);
    }
    assert!(fill(Duration::from_secs(20), Kind::Success) > 4);
}

/// A cold upstream is slow until its caches are filled. Its share must start small and rise to
/// that of the others.
#[test]
fn pick_cold_start() {
    let mut members = ready(8);
    let until = Duration::from_secs(40);
    members[3] = member(3, State::Warm { since: Moment::ZERO, until });
    let mut picker = picker(0, 44, &members);
    let shares: Vec<f64> = (0..5)
        .map(|part| send(&mut picker, INTERVAL * 1_000 * part, 1_000, |_| LATENCY))
        .map(|counts| share(&counts, "u03"))
        .collect();
    assert!(shares[0] < 0.05, "{shares:?}");
    assert!(shares[0] < shares[2] && shares[2] < shares[4], "{shares:?}");
    assert!(shares[4] > 0.08, "{shares:?}");
}

/// A request tried at two upstreams must go to the third. Tried at all of them, it must get none,
/// so that admission can tell the caller that it was not run.
#[test]
fn pick_avoid() {
    let mut picker = picker(0, 44, &ready(3));
    let avoid = [name(0).into(), name(2).into()];
    for _ in 0..50 {
        let pick = picker.pick(Moment::ZERO, &Request { avoid: &avoid, ..Request::default() });
        let pick = pick.expect("the third upstream");
        assert_eq!(pick.upstream, name(1));
        picker.finish(Moment::ZERO, pick.ticket, finish(Kind::Success, LATENCY));
    }
    let avoid = [name(0).into(), name(1).into(), name(2).into()];
    assert_eq!(picker.pick(Moment::ZERO, &Request { avoid: &avoid, ..Request::default() }), None);
}

/// An upload lasts as long as the caller's connection needs. It must count as in flight, but not
/// as overdue.
#[test]
fn overdue_long_request() {
    let mut picker = picker(0, 44, &ready(1));
    let lookup = picker.pick(Moment::ZERO, &Request::default()).expect("an idle upstream");
    picker.finish(LATENCY, lookup.ticket, finish(Kind::Success, LATENCY));
    let upload =
        picker.pick(LATENCY, &Request { is_long: true, ..Request::default() }).expect("room");
    let late = Duration::from_secs(9);
    assert_eq!(picker.overdue(late), []);
    assert_eq!(picker.in_flight("u00"), 1);
    picker.pick(Moment::ZERO, &Request::default()).expect("room");
    assert_eq!(picker.overdue(late), [("u00".into(), vec![late])]);
    picker.finish(late, upload.ticket, finish(Kind::Success, late));
    assert_eq!(picker.in_flight("u00"), 1);
}

// The first upstreams that are measured are faster than was assumed of any. Another one must get its
// share too, although nothing else changes in the meantime.
#[test]
fn pick_not_yet_measured() {
    let counts = (0..20).map(|seed| {
        let counts = send(&mut picker(seed, 3, &ready(3)), Moment::ZERO, 360, |_| FAST);
        (0..3).map(|at| counts.get(&name(at)).copied().unwrap_or(0)).min().unwrap()
    });
    let starved: Vec<u32> = counts.filter(|least| *least < 60).collect();
    assert_eq!(starved, Vec::<u32>::new(), "fewest requests of one of three upstreams");
}
