//! Tests of one entry's limiter.

use std::time::Duration;

use hemlockfield::quota::Allocation;
use hemlockfield::quota::Decision;
use hemlockfield::quota::Demand;
use hemlockfield::quota::Grant;
use hemlockfield::quota::Limiter;
use hemlockfield::quota::Subject;

use super::simulation::WINDOW;

const MOST: u32 = 100;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn subject() -> Subject {
    Subject::Team("port".into())
}

fn limiter() -> Limiter {
    Limiter::new("entry-1".into(), 1, WINDOW)
}

fn acquire(limiter: &mut Limiter, now: Duration) -> Decision {
    limiter.acquire(now, &subject(), 1, MOST)
}

/// Control's answer to a demand, with this allocation.
fn grant(demand: &Demand, amount: u32) -> Grant {
    let allocation = Allocation { amount, spare: 0, subject: subject() };
    Grant { incarnation: 1, is_over: false, parts: vec![allocation], sequence: demand.sequence }
}

/// A limiter that holds this allocation, granted for a first request that hasn't passed yet.
fn with_allocation(amount: u32) -> Limiter {
    let mut limiter = limiter();
    acquire(&mut limiter, ms(0));
    let demand = limiter.next_demand(ms(40)).expect("a demand");
    limiter.apply(ms(60), &grant(&demand, amount));
    limiter
}

// The first request of a team waits for control, and passes after the grant. The next one waits
// again.
#[test]
fn acquire_first_request() {
    let mut limiter = limiter();
    assert_eq!(acquire(&mut limiter, ms(0)), Decision::Wait);
    let demand = limiter.next_demand(ms(40)).expect("a demand");
    assert!(limiter.apply(ms(60), &grant(&demand, 1)));
    assert_eq!(acquire(&mut limiter, ms(60)), Decision::Passed(ms(60)));
    assert_eq!(acquire(&mut limiter, ms(70)), Decision::Wait);
}

// Control can't be reached. Requests wait for as long as an election takes and are refused at once
// after that, as waiting wouldn't help them. Requests within the allocation still pass.
#[test]
fn acquire_without_control() {
    let mut limiter = with_allocation(2);
    assert_eq!(acquire(&mut limiter, ms(60)), Decision::Passed(ms(60)));
    limiter.next_demand(ms(600));
    assert_eq!(acquire(&mut limiter, ms(700)), Decision::Passed(ms(700)));
    assert_eq!(acquire(&mut limiter, ms(800)), Decision::Wait);
    limiter.next_demand(ms(1_000));
    limiter.next_demand(ms(1_500));
    assert!(matches!(acquire(&mut limiter, ms(3_600)), Decision::Unconfirmed(_)));
}

// The allowance is used up. Requests beyond the allocation are refused at once, with the time until
// the oldest request expires.
#[test]
fn acquire_exhausted_allowance() {
    let mut limiter = limiter();
    acquire(&mut limiter, ms(0));
    acquire(&mut limiter, ms(0));
    let demand = limiter.next_demand(ms(40)).expect("a demand");
    limiter.apply(ms(60), &grant(&demand, 1));
    acquire(&mut limiter, ms(60));
    let Decision::Refused(after) = acquire(&mut limiter, ms(100)) else { panic!("not refused") };
    assert!(after >= WINDOW - ms(40) && after <= WINDOW + ms(500), "{after:?}");
}

// A request that did not run must not count against the allocation.
#[test]
fn refund_request_not_run() {
    let mut limiter = with_allocation(1);
    acquire(&mut limiter, ms(60));
    limiter.refund(&subject(), ms(60));
    assert_eq!(acquire(&mut limiter, ms(80)), Decision::Passed(ms(80)));
}

// A duplicate of an older grant arrives late. Its allocation was given back since and may be used by
// other entries, so it must not be applied.
#[test]
fn apply_older_grant() {
    let mut limiter = limiter();
    acquire(&mut limiter, ms(0));
    let first = limiter.next_demand(ms(40)).expect("a demand");
    limiter.apply(ms(60), &grant(&first, 5));
    limiter.next_demand(ms(600)).expect("a demand that gives back");
    assert!(!limiter.apply(ms(620), &grant(&first, 5)));
}
