//! A group of one.

use std::time::Duration;

use hemlockfield::quorum::Input;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Recovered;
use hemlockfield::quorum::Replica;
use hemlockfield::quorum::Setup;

use super::world::World;

const LIMIT: Duration = Duration::from_secs(20);

// A group of one, as on a developer's machine: it leads, though not before its
// own vote is synced, and accepts.
#[test]
fn single_leads() {
    let mut world = World::new(1, 1, None);
    world.until("a leader", LIMIT, |world| world.leader().is_some()).expect("in time");
    let leader = world.leader().expect("a leader");
    world.propose(&leader).expect("safe");
    world.until("a command", LIMIT, |it| !it.checker.accepted.is_empty()).expect("in time");
    assert!(!world.tolerates_one_more_loss(), "one disk tolerates no loss");
}

// The same on a disk that takes long to sync: it waits.
#[test]
fn single_waits_for_sync() {
    let mut setup = Setup::new("control-1".into());
    setup.founders = Some(Membership::founding(["control-1".into()]));
    let mut replica = Replica::new(setup, Recovered::default(), 1);
    let mut leads = (0..100).flat_map(|second| {
        let outputs = replica.handle(Duration::from_secs(second), Input::Tick);
        outputs.into_iter().filter(|it| matches!(it, Output::BecameLeader { .. }))
    });
    assert_eq!(leads.next(), None);
}

// Whole configurations, large ones, and a snapshot now and then: the memory that
// is kept for followers which are a little late is bounded in bytes as well.
#[test]
fn snapshot_keeps_few_bytes() {
    let mut world = World::new(1, 1, None);
    world.until("a leader", LIMIT, |world| world.leader().is_some()).expect("in time");
    let leader = world.leader().expect("a leader");
    for ticket in 0..4 {
        let command = vec![0; 300];
        world.input(&leader, Input::Propose { ticket, command }).expect("safe");
    }
    world.run(Duration::from_secs(1)).expect("safe");
    let index = world.status(&leader).commit;
    world.input(&leader, Input::Snapshot { index, bytes: Vec::new() }).expect("safe");
    assert_eq!(world.status(&leader).entries, 324, "one of four");
}
