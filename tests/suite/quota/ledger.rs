//! Tests of the ledger: which allocations it grants.

use std::time::Duration;

use hemlockfield::quota::Action;
use hemlockfield::quota::Demand;
use hemlockfield::quota::Item;
use hemlockfield::quota::Ledger;
use hemlockfield::quota::Subject;

/// A power of two, of which shares are exact.
const MOST: u32 = 16;

fn demand(holder: &str, incarnation: u64, sequence: u64, want: u32) -> Action {
    demand_of(MOST, holder, incarnation, sequence, want)
}

fn demand_of(most: u32, holder: &str, incarnation: u64, sequence: u64, want: u32) -> Action {
    let items = vec![Item { most, subject: Subject::Team("port".into()), want }];
    let age = Duration::ZERO;
    let holder = holder.into();
    Action::Ask(Demand { age, holder, incarnation, is_leaving: false, items, sequence })
}

/// The allocation that a demand is granted; `None` if the demand is obsolete.
fn allocate(ledger: &mut Ledger, action: &Action) -> Option<u32> {
    ledger.apply(action).map(|grant| grant.parts[0].amount)
}

// Two entries demand more than the allowance. The second gets the rest, and more only after the
// first has given some back.
#[test]
fn apply_no_more_than_whole() {
    let mut ledger = Ledger::default();
    assert_eq!(allocate(&mut ledger, &demand("a", 1, 1, 10)), Some(10));
    assert_eq!(allocate(&mut ledger, &demand("b", 1, 1, 10)), Some(6));
    assert_eq!(allocate(&mut ledger, &demand("a", 1, 2, 2)), Some(2));
    assert_eq!(allocate(&mut ledger, &demand("b", 1, 2, 10)), Some(10));
}

// A demand arrives after a newer one of the same entry. The entry has given back since what the
// older one demands.
#[test]
fn apply_older_demand() {
    let mut ledger = Ledger::default();
    allocate(&mut ledger, &demand("a", 1, 2, 2));
    assert_eq!(allocate(&mut ledger, &demand("a", 1, 1, 7)), None);
    assert_eq!(allocate(&mut ledger, &demand("b", 1, 1, 16)), Some(14));
}

// An entry is killed and restarts. Nobody knows how many requests it had passed, so its allocation
// counts as used until it is released.
#[test]
fn apply_restarted_entry() {
    let mut ledger = Ledger::default();
    allocate(&mut ledger, &demand("a", 1, 1, 12));
    assert_eq!(allocate(&mut ledger, &demand("a", 2, 1, 8)), Some(4));
    assert_eq!(ledger.ended().into_iter().collect::<Vec<_>>(), [("a".into(), 1)]);
    ledger.apply(&Action::Release("a".into(), 1));
    assert_eq!(allocate(&mut ledger, &demand("a", 2, 2, 8)), Some(8));
}

// An entry has passed fifty of six hundred requests when the limit falls to twenty. Rounded to whole
// requests of that, its allocation is one, a smaller share. Another entry that still uses the old
// limit must not get the difference: with those fifty, more than six hundred would pass.
#[test]
fn apply_lowered_limit() {
    let mut ledger = Ledger::default();
    allocate(&mut ledger, &demand_of(600, "a", 1, 1, 50));
    assert_eq!(allocate(&mut ledger, &demand_of(600, "b", 1, 1, 600)), Some(549));
    allocate(&mut ledger, &demand_of(20, "a", 1, 2, 50));
    assert_eq!(allocate(&mut ledger, &demand_of(600, "b", 1, 2, 600)), Some(549));
}
