//! Events about upstreams that controls hear late, twice, out of order or while they are cut off.

mod controls;
pub(crate) mod orders;
mod seeds;

use hemlockfield::catalog::Action;
use hemlockfield::registry::State;
use rstest::rstest;

use self::controls::CONTROLS;
use self::controls::Controls;
use self::controls::Upstream;

/// Upstreams of one address.
fn upstream(id: &str) -> Upstream {
    Upstream { address: ([10, 0, 0, 1], 80).into(), id: id.into(), service: "hull".into() }
}

fn ready(id: &str, start: u64, sequence: u64) -> Action {
    upstream(id).announce(start, sequence, State::Ready)
}

fn leave(id: &str) -> Action {
    upstream(id).leave()
}

/// The leader, or a control that does not lead.
fn pick(fleet: &Controls, leads: bool) -> usize {
    let leader = fleet.leader();
    if leads { leader } else { (leader + 1) % CONTROLS }
}

/// A fleet that knows `x`, a control of it that stands still, and one that does not.
fn frozen(leads: bool) -> (Controls, usize, usize) {
    let mut fleet = Controls::start();
    fleet.report_until_acknowledged(0, &ready("x", 1, 1));
    fleet.run_ms(1_000);
    let frozen = pick(&fleet, leads);
    fleet.freeze(frozen);
    (fleet, frozen, (frozen + 1) % CONTROLS)
}

// A control that is cut off acknowledged a departure from its old table, and the upstream went on getting requests.
#[rstest]
fn depart_control_cut_off(#[values(false, true)] leads: bool) {
    let mut fleet = Controls::start();
    fleet.report_until_acknowledged(0, &ready("x", 1, 1));
    fleet.report_until_acknowledged(0, &leave("x"));
    fleet.run_ms(1_000);
    let cut = pick(&fleet, leads);
    let other = (cut + 1) % CONTROLS;
    fleet.set_cut(cut, true);
    fleet.run_ms(if leads { 6_000 } else { 500 });
    fleet.report_until_acknowledged(other, &ready("x", 2, 1));
    let ticket = fleet.report(cut, &leave("x"));
    fleet.run_ms(1_000);
    assert_ne!(fleet.is_acknowledged(ticket), Some(true));
    fleet.report_until_acknowledged(other, &leave("x"));
    fleet.set_cut(cut, false);
    fleet.run_ms(5_000);
    assert!(fleet.usable().is_empty());
}

// A departure that lay at a frozen control ended the next start of its upstream for good.
#[rstest]
fn depart_read_late(#[values(false, true)] leads: bool, #[values(false, true)] events_first: bool) {
    let (mut fleet, frozen, other) = frozen(leads);
    fleet.report(frozen, &leave("x"));
    fleet.run_ms(if leads { 6_000 } else { 1_000 });
    fleet.report_until_acknowledged(other, &leave("x"));
    fleet.report_until_acknowledged(other, &ready("x", 2, 1));
    fleet.run_ms(1_000);
    fleet.wake(frozen, events_first);
    fleet.run_ms(3_000);
    assert!(fleet.usable().contains("x"));
}

// The late first announcement of an upstream that crashed took the place of the live one at its address for good.
#[test]
fn announce_late_address_taken() {
    let mut fleet = Controls::start();
    fleet.report_until_acknowledged(0, &ready("second", 0, 1));
    fleet.report(1, &ready("first", 0, 1));
    fleet.run_ms(1_500);
    for sequence in 2..=3 {
        fleet.report(0, &ready("second", 0, sequence));
        fleet.run_ms(1_500);
    }
    assert_eq!(fleet.usable(), ["second".into()].into());
}

// The late first announcement of an upstream that started earlier took the address of a later one.
#[test]
fn announce_late_address_of_later_start() {
    let mut fleet = Controls::start();
    fleet.report_until_acknowledged(0, &ready("second", 2, 1));
    let ticket = fleet.report(1, &ready("first", 1, 1));
    fleet.run_ms(1_500);
    assert_eq!(fleet.is_acknowledged(ticket), Some(false));
    assert_eq!(fleet.usable(), ["second".into()].into());
}

// Announcements that lay at a frozen control bring back an upstream that has left.
#[rstest]
fn announce_late_after_departure(#[values(false, true)] events_first: bool) {
    let (mut fleet, frozen, other) = frozen(false);
    for sequence in 2..=4 {
        fleet.report(frozen, &ready("x", 1, sequence));
        fleet.run_ms(1_500);
    }
    fleet.report_until_acknowledged(other, &leave("x"));
    fleet.wake(frozen, events_first);
    for _ in 0..100 {
        fleet.run_ms(50);
        assert!(fleet.usable().is_empty());
    }
}

// A start by a clock that was set back was held to be old for good.
#[test]
fn announce_clock_set_back() {
    let mut fleet = Controls::start();
    fleet.report_until_acknowledged(0, &ready("x", 9, 1));
    fleet.run_ms(500);
    fleet.report_until_acknowledged(0, &leave("x"));
    for sequence in 1..=2 {
        fleet.report(0, &ready("x", 5, sequence));
        fleet.run_ms(1_500);
    }
    assert!(fleet.usable().contains("x"));
}

// A departure of an upstream that was never known kept all its later starts out.
#[test]
fn depart_unknown_then_start() {
    let mut fleet = Controls::start();
    fleet.report_until_acknowledged(0, &leave("x"));
    for sequence in 1..=2 {
        fleet.report(0, &ready("x", 5, sequence));
        fleet.run_ms(1_500);
    }
    assert!(fleet.usable().contains("x"));
}
