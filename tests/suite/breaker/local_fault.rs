//! Whether an entry takes broken answers for its own fault.

use std::time::Duration;

use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::breaker::LocalFault;
use hemlockfield::health::Kind;
use hemlockfield::id::UpstreamId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::circuit::ms;
use super::circuit::one;

const COUNT: u64 = 8;

fn name(at: u64) -> UpstreamId {
    compact_str::format_compact!("hull-{at:02}")
}

fn group() -> Group {
    let mut group = Group::new(0.5, ChaCha8Rng::seed_from_u64(7));
    (0..COUNT).for_each(|at| group.join(name(at), 4));
    group
}

/// What the entry makes of an answer that its own caller did not get.
fn cut_here(group: &mut Group, local_fault: &mut LocalFault, now: Duration, at: u64) {
    if group.serves_others(now, &name(at)) {
        local_fault.record(now, &name(at));
    }
    group.record_own(now, &name(at), &one(Kind::Cut));
}

fn told(group: &mut Group, now: Duration, at: u64, kind: Kind) {
    group.record(now, &name(at), &one(kind));
}

// Eight upstreams break their answers together, each to callers of all entries. An entry that
// takes itself for the cause after the fourth keeps the others in the dark, and each of them
// loses a request at each upstream: it must go on telling.
#[test]
fn is_likely_many_upstreams_at_fault() {
    let (mut group, mut local_fault) = (group(), LocalFault::default());
    for at in 0..COUNT {
        told(&mut group, ms(100 * at), at, Kind::Success);
        told(&mut group, ms(100 * at + 20), at, Kind::Cut);
        cut_here(&mut group, &mut local_fault, ms(100 * at + 60), at);
    }
    assert!(!local_fault.is_likely(ms(1000)));
}

// One entry's link loses what it sends, and four upstreams that answer everybody else seem to
// break their answers to it. Told to the others, that would take four sound upstreams from
// their callers, and then all the rest.
#[test]
fn is_likely_others_are_served() {
    let (mut group, mut local_fault) = (group(), LocalFault::default());
    for at in 0..4 {
        told(&mut group, ms(100 * at), at, Kind::Success);
        cut_here(&mut group, &mut local_fault, ms(100 * at + 60), at);
    }
    assert!(local_fault.is_likely(ms(1000)));
    assert!(!local_fault.is_likely(ms(3300)), "what is three seconds old counts no more");
}

// An entry's own answers are no evidence about what others get: alone with its upstreams, it
// has nobody to compare with, and tells what it sees.
#[test]
fn is_likely_nobody_to_compare_with() {
    let (mut group, mut local_fault) = (group(), LocalFault::default());
    for at in 0..COUNT {
        group.record_own(ms(100 * at), &name(at), &Counts::from_outcome(Kind::Success, ms(200)));
        cut_here(&mut group, &mut local_fault, ms(100 * at + 60), at);
    }
    assert!(!local_fault.is_likely(ms(1000)));
}
