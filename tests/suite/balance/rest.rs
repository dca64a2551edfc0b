//! Tests of upstreams that ask this entry for rest or say that they leave.

use std::time::Duration;

use hemlockfield::balance::Completion;
use hemlockfield::balance::Duty;
use hemlockfield::balance::Health;
use hemlockfield::balance::Member;
use hemlockfield::balance::Picker;
use hemlockfield::balance::Request;
use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::id::UpstreamId;

use super::name;
use super::picker;
use super::ready;

const REST: Duration = Duration::from_secs(3);

fn id(upstream: usize) -> UpstreamId {
    name(upstream).into()
}

/// Every upstream is owed requests, and all but the second are suspect.
struct Owed;

impl Health for Owed {
    fn duty(&self, _: &str) -> Option<Duty> {
        Some(Duty::First)
    }

    fn is_suspect(&self, upstream: &str) -> bool {
        upstream != name(1).as_str()
    }

    fn weight(&self, _: &str) -> f64 {
        1.0
    }
}

/// Whether an upstream is picked within a hundred requests that end at once.
fn is_picked(picker: &mut Picker, now: Moment, upstream: &str) -> bool {
    (0..100).any(|_| {
        let Some(pick) = picker.pick(now, &Request::default()) else { return false };
        let latency = Duration::from_millis(20);
        picker.finish(now, pick.ticket, Completion { kind: Kind::Success, latency, report: None });
        pick.upstream == upstream
    })
}

// A resting upstream must get no first request, no second choice, no trial and no request that is owed
// to it, also as the last sound one, until its rest is over.
#[test]
fn pick_resting() {
    let mut picker = picker(1, 1, &ready(3));
    picker.rest(Duration::ZERO, &id(1), REST);
    for millis in [0, 1, 1_400, 2_999] {
        let now = Duration::from_millis(millis);
        picker.refresh(now, &Owed);
        assert!(!is_picked(&mut picker, now, &name(1)), "{millis} ms");
        assert!(picker.pick_only(now, &id(1), false).is_none());
        assert!(picker.is_held(now, &name(1)));
    }
    assert!(is_picked(&mut picker, REST, &name(1)));
}

// The owner of an upstream's limit has budget left for it, but the upstream asked this entry for rest.
#[test]
fn pick_resting_with_limit() {
    let mut picker = picker(1, 1, &ready(3));
    picker.set_rates(Duration::ZERO, |_| Some(50.0));
    picker.rest(Duration::ZERO, &id(1), REST);
    for millis in [0, 500, 2_999] {
        let now = Duration::from_millis(millis);
        assert!(!is_picked(&mut picker, now, &name(1)), "{millis} ms");
    }
    assert!(is_picked(&mut picker, REST, &name(1)));
}

// A rest that is named later and ends sooner must not end the first one.
#[test]
fn pick_resting_longest() {
    let mut picker = picker(1, 1, &ready(3));
    picker.rest(Duration::ZERO, &id(1), REST);
    picker.rest(Duration::from_millis(100), &id(1), Duration::from_millis(100));
    assert!(!is_picked(&mut picker, Duration::from_secs(2), &name(1)));
}

// All requests that wait must not reach an upstream in the first moment after its rest.
#[test]
fn pick_after_rest() {
    let mut picker = picker(1, 1, &ready(1));
    picker.rest(Duration::ZERO, &id(0), REST);
    let picks = (0..10).filter_map(|_| picker.pick(REST, &Request::default()));
    assert_eq!(picks.count(), 1);
}

// All upstreams rest: a caller is told of the first end, and nothing is picked.
#[test]
fn rest_left_all() {
    let mut picker = picker(1, 1, &ready(3));
    for at in 0..3 {
        picker.rest(Duration::ZERO, &id(at), REST + Duration::from_secs(at as u64));
    }
    let now = Duration::from_secs(1);
    assert_eq!(picker.rest_left(now), Some(Duration::from_secs(2)));
    assert!(picker.pick(now, &Request::default()).is_none());
    assert_eq!(picker.rest_left(REST), None);
}

// Those that an entry uses rest; others have room.
#[test]
fn pick_others_resting() {
    let mut picker = picker(1, 520, &ready(30));
    let used: Vec<_> = picker.subset().cloned().collect();
    assert!(used.len() < 30);
    used.iter().for_each(|upstream| picker.rest(Duration::ZERO, upstream, REST));
    let pick = picker.pick(Duration::ZERO, &Request::default()).expect("an upstream with room");
    assert!(!used.contains(&pick.upstream));
}

// An upstream said that it leaves. A table that is older names it again, and it must get nothing; a later
// process of the same name must.
#[test]
fn pick_leaving() {
    let mut picker = picker(1, 1, &ready(3));
    assert!(picker.leave(Duration::ZERO, &id(1)));
    assert!(!picker.leave(Duration::ZERO, &id(1)));
    let now = Duration::from_secs(60);
    assert!(!is_picked(&mut picker, now, &name(1)));
    picker.set_members(&ready(1));
    picker.set_members(&ready(3));
    assert!(!is_picked(&mut picker, now, &name(1)));
    let later = |member: Member| Member { incarnation: 1, ..member };
    picker.set_members(&ready(3).into_iter().map(later).collect::<Vec<_>>());
    assert!(is_picked(&mut picker, now, &name(1)));
}
