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

const GAP: Duration = Duration::from_millis(10);
const USUAL: Duration = Duration::from_millis(25);

/// Sends requests one after another and counts where they go.
fn spread(
    picker: &mut Picker,
    from: Moment,
    count: u32,
    latency: fn(&str) -> Duration,
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for turn in 0..count {
        let now = from + GAP * turn;
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

/// One of eight upstreams takes ten times as long. Turns would send it an eighth
/// of the requests, whose callers all wait; it must get far less, and still
/// enough to be seen when it recovers.
#[test]
fn pick_slow_upstream() {
    let mut picker = picker(0, 44, &ready(8));
    let slow = |upstream: &str| if upstream == "u03" { USUAL * 10 } else { USUAL };
    spread(&mut picker, Moment::ZERO, 4_000, slow);
    let counts = spread(&mut picker, GAP * 4_000, 4_000, slow);
    assert!(share(&counts, "u03") < 0.02, "{counts:?}");
    let counts = spread(&mut picker, GAP * 8_000, 40_000, |_| USUAL);
    assert!(share(&counts, "u03") > 0.04, "{counts:?}");
}

/// Other entries fill one upstream, which refuses what comes from here. The next
/// requests must go elsewhere at once, and come back when it takes work again.
#[test]
fn pick_hot_upstream() {
    let mut picker = picker(0, 44, &ready(8));
    spread(&mut picker, Moment::ZERO, 1_000, |_| USUAL);
    let mut now = GAP * 1_000;
    let hot = loop {
        let pick = picker.pick(now, &Request::default()).expect("an idle upstream");
        if pick.upstream == "u03" {
            break pick;
        }
        picker.finish(now, pick.ticket, finish(Kind::Success, USUAL));
    };
    picker.finish(now, hot.ticket, finish(Kind::Refused, Duration::from_millis(2)));
    for _ in 0..200 {
        let pick = picker.pick(now, &Request::default()).expect("an idle upstream");
        assert_ne!(pick.upstream, "u03");
        picker.finish(now, pick.ticket, finish(Kind::Success, USUAL));
    }
    now += GAP;
    let counts = spread(&mut picker, now, 2_000, |_| USUAL);
    assert!(share(&counts, "u03") > 0.08, "{counts:?}");
}

/// An upstream refuses for long; the limit on what it has in flight from here
/// falls to one and grows again with its successes.
#[test]
fn pick_limit_learned() {
    let mut picker = picker(0, 44, &ready(1));
    let mut most = |now: Moment, kind: Kind| {
        let mut picks = Vec::new();
        while let Some(pick) = picker.pick(now, &Request::default()) {
            picks.push(pick);
        }
        let count = picks.len();
        for pick in picks {
            picker.finish(now, pick.ticket, finish(kind, USUAL));
        }
        count
    };
    assert_eq!(most(Moment::ZERO, Kind::Success), 4);
    for second in 1..5 {
        most(Duration::from_secs(second), Kind::Refused);
    }
    assert_eq!(most(Duration::from_secs(5), Kind::Success), 1);
    for second in 6..20 {
        most(Duration::from_secs(second), Kind::Success);
    }
    assert!(most(Duration::from_secs(20), Kind::Success) > 4);
}

/// A cold upstream answers slowly until its caches are filled. Its share must
/// start small and rise to that of the others.
#[test]
fn pick_cold_start() {
    let mut members = ready(8);
    let until = Duration::from_secs(40);
    members[3] = member(3, State::Warm { since: Moment::ZERO, until });
    let mut picker = picker(0, 44, &members);
    let shares: Vec<f64> = (0..5)
        .map(|part| spread(&mut picker, GAP * 1_000 * part, 1_000, |_| USUAL))
        .map(|counts| share(&counts, "u03"))
        .collect();
    assert!(shares[0] < 0.05, "{shares:?}");
    assert!(shares[0] < shares[2] && shares[2] < shares[4], "{shares:?}");
    assert!(shares[4] > 0.08, "{shares:?}");
}

/// A request tried at two upstreams goes to a third, and to nobody when it has
/// been everywhere: admission tells the caller that it was not run.
#[test]
fn pick_avoid() {
    let mut picker = picker(0, 44, &ready(3));
    let avoid = [name(0).into(), name(2).into()];
    for _ in 0..50 {
        let pick = picker.pick(Moment::ZERO, &Request { avoid: &avoid, is_long: false });
        let pick = pick.expect("the third upstream");
        assert_eq!(pick.upstream, name(1));
        picker.finish(Moment::ZERO, pick.ticket, finish(Kind::Success, USUAL));
    }
    let avoid = [name(0).into(), name(1).into(), name(2).into()];
    assert_eq!(picker.pick(Moment::ZERO, &Request { avoid: &avoid, is_long: false }), None);
}

/// Uploads take as long as the caller's line lets them. They must count as in
/// flight, and never as an upstream that doesn't answer.
#[test]
fn overdue_long_jobs() {
    let mut picker = picker(0, 44, &ready(1));
    let lookup = picker.pick(Moment::ZERO, &Request::default()).expect("an idle upstream");
    picker.finish(USUAL, lookup.ticket, finish(Kind::Success, USUAL));
    let upload = picker.pick(USUAL, &Request { avoid: &[], is_long: true }).expect("room");
    let late = Duration::from_secs(9);
    assert_eq!(picker.overdue(late), []);
    assert_eq!(picker.in_flight("u00"), 1);
    picker.pick(Moment::ZERO, &Request::default()).expect("room");
    assert_eq!(picker.overdue(late), [("u00".into(), vec![late])]);
    picker.finish(late, upload.ticket, finish(Kind::Success, late));
    assert_eq!(picker.in_flight("u00"), 1);
}
