//! Requests that were lost, until it is known whether their upstream ended.

use hemlockfield::poison::Cause;
use hemlockfield::poison::Checks;

use super::FATAL;
use super::HOT;
use super::at;
use super::of;

// One look serves all requests that were lost at an upstream.
#[test]
fn begin_twice() {
    let (mut checks, upstream) = (Checks::default(), "i-1".into());
    checks.record(at(0), &upstream, of(FATAL), Cause::Broken);
    assert!(checks.begin(at(0), &upstream));
    checks.record(at(10), &upstream, of(HOT), Cause::Broken);
    assert!(!checks.begin(at(10), &upstream));
    assert_eq!(checks.take(at(100), &upstream), [of(FATAL), of(HOT)]);
    assert!(!checks.begin(at(100), &upstream));
}

// An upstream hung under a request that was given up, was found alive, and ended some time later.
#[test]
fn take_given_up() {
    let (mut checks, upstream) = (Checks::default(), "i-1".into());
    checks.record(at(0), &upstream, of(FATAL), Cause::GivenUp);
    assert!(checks.begin(at(0), &upstream));
    checks.end(&upstream);
    assert!(checks.begin(at(2_000), &upstream));
    assert_eq!(checks.take(at(2_100), &upstream), [of(FATAL)]);
    checks.record(at(3_000), &upstream, of(FATAL), Cause::GivenUp);
    assert_eq!(checks.take(at(9_000), &upstream), []);
}

// All paths to a service were lost without a sign, and what was given up on them was held to be lost at a crash.
#[test]
fn take_broken_given_up() {
    let (mut checks, upstream) = (Checks::default(), "i-1".into());
    checks.record(at(0), &upstream, of(HOT), Cause::GivenUp);
    checks.record(at(0), &upstream, of(FATAL), Cause::Broken);
    assert_eq!(checks.take_broken(at(100), &upstream), [of(FATAL)]);
}
