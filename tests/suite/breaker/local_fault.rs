//! Detection of a fault of the entry's own network.

use std::time::Duration;

use hemlockfield::breaker::Counts;
use hemlockfield::breaker::Group;
use hemlockfield::breaker::LocalFault;
use hemlockfield::health::Kind;
use hemlockfield::id::UpstreamId;

use super::circuit::ms;
use super::circuit::outcome;

const COUNT: u64 = 8;

fn name(at: u64) -> UpstreamId {
    compact_str::format_compact!("hull-{at:02}")
}

fn group() -> Group {
    let mut group = Group::new(0.5);
    (0..COUNT).for_each(|at| group.join(name(at), 4));
    group
}

/// Records a broken answer at this entry as `node` does.
fn record_own_cut(group: &mut Group, local_fault: &mut LocalFault, now: Duration, at: u64) {
    if group.serves_others(now, &name(at)) {
        local_fault.record(now, &name(at));
    }
    group.record_own(now, &name(at), &outcome(Kind::Cut));
}

fn record_other(group: &mut Group, now: Duration, at: u64, kind: Kind) {
    group.record(now, &name(at), &outcome(kind));
}

// Eight upstreams break their answers at the same time, at all entries. If the entry took its own
// network for the cause after the fourth, it would stop reporting, and each other entry would
// lose a request at each of the remaining upstreams.
#[test]
fn is_likely_many_upstreams_at_fault() {
    let (mut group, mut local_fault) = (group(), LocalFault::default());
    for at in 0..COUNT {
        record_other(&mut group, ms(100 * at), at, Kind::Success);
        record_other(&mut group, ms(100 * at + 20), at, Kind::Cut);
        record_own_cut(&mut group, &mut local_fault, ms(100 * at + 60), at);
    }
    assert!(!local_fault.is_likely(ms(1000)));
}

// The link of one entry loses packets, so that four upstreams that serve all other entries seem
// to break their answers. Reported to the others, that would take out four sound upstreams, and
// then the rest.
#[test]
fn is_likely_others_are_served() {
    let (mut group, mut local_fault) = (group(), LocalFault::default());
    for at in 0..4 {
        record_other(&mut group, ms(100 * at), at, Kind::Success);
        record_own_cut(&mut group, &mut local_fault, ms(100 * at + 60), at);
    }
    assert!(local_fault.is_likely(ms(1000)));
    assert!(!local_fault.is_likely(ms(3300)), "what is three seconds old counts no more");
}

// An entry's own answers say nothing about what others get. The only entry of its upstreams has
// no comparison, and reports what it sees.
#[test]
fn is_likely_nobody_to_compare_with() {
    let (mut group, mut local_fault) = (group(), LocalFault::default());
    for at in 0..COUNT {
        group.record_own(ms(100 * at), &name(at), &Counts::from_outcome(Kind::Success, ms(200)));
        record_own_cut(&mut group, &mut local_fault, ms(100 * at + 60), at);
    }
    assert!(!local_fault.is_likely(ms(1000)));
}
