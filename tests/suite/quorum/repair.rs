//! A second VM lost right after a repair.

use std::time::Duration;

use hemlockfield::id::NodeId;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Reason;
use hemlockfield::quorum::Role;
use rand::Rng;
use rstest::rstest;

use super::checker::Verdict;
use super::checker::ensure;
use super::world::World;

const LIMIT: Duration = Duration::from_secs(20);

/// When the operator is told "repaired".
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Told {
    /// As soon as the new member is added: too early.
    AtAddLearner,
    /// When the leader's verdict says so.
    ByVerdict,
}

fn lose(world: &mut World, name: &NodeId) {
    let seed = world.random.random();
    let mutant = world.mutant;
    let vm = world.vms.get_mut(name).expect("known");
    vm.lose_disk(seed, mutant);
    // The VM stays away: nothing of it may be needed to go on.
    vm.restart_at = Duration::MAX;
}

fn is_told(world: &World, told: Told, lost: &NodeId) -> bool {
    let Some(memory) = world.leader().and_then(|name| world.memory(&name)) else { return false };
    let members = memory.replica.status(world.now).members;
    let disk = world.vms[lost].memory.as_ref().map(|it| it.replica.disk());
    let added = members.iter().any(|it| it.node == *lost && Some(it.disk) == disk);
    match told {
        Told::AtAddLearner => added,
        Told::ByVerdict => added && memory.replica.repaired(),
    }
}

/// Loses a disk, repairs, and loses `victim` at the moment of the verdict.
fn lose_twice(seed: u64, size: usize, victim: usize, told: Told) -> Verdict {
    let mut world = World::new(seed, size, None);
    world.until("a whole group", LIMIT, World::repaired)?;
    for _ in 0..40 {
        let leader = world.leader().ok_or("no leader")?;
        world.propose(&leader)?;
        world.step()?;
    }
    let names = world.names();
    let lost = names[usize::try_from(seed).expect("small") % size].clone();
    lose(&mut world, &lost);
    world.vms.get_mut(&lost).expect("known").restart_at = world.now;
    let end = world.now + LIMIT;
    while !is_told(&world, told, &lost) {
        ensure(world.now < end, || "no verdict".to_owned())?;
        if let Some(leader) = world.leader() {
            world.propose(&leader)?;
        }
        world.repair()?;
        world.step()?;
    }
    let second = names[victim % size].clone();
    lose(&mut world, &second);
    let before = world.checker.accepted.len();
    let end = world.now + LIMIT;
    while world.checker.accepted.len() < before + 5 {
        ensure(world.now < end, || "nothing is accepted any more".to_owned())?;
        if let Some(leader) = world.leader() {
            world.propose(&leader)?;
        }
        world.step()?;
    }
    let leader = world.leader().ok_or("no leader")?;
    world.check_accepted(&leader)
}

// The operator replaces a VM that lost its disk, reads "repaired", and in that
// moment loses another one for good, be it the leader, an old member or the new.
// Every accepted command is there and new ones are accepted, since the verdict
// waits until a majority that holds all is left after any further loss.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn repaired_second_loss(#[case] size: usize) {
    for seed in 0..30 {
        for victim in 0..size {
            let verdict = lose_twice(seed, size, victim, Told::ByVerdict);
            assert_eq!(verdict, Ok(()), "seed {seed}, victim {victim}");
        }
    }
}

// The same with the verdict given when the new member is only added: one old
// voter is left of two, and can't decide anything. So the proof above does find
// a verdict that comes too early.
#[test]
fn repaired_at_add_learner() {
    for seed in 0..30 {
        let others = (0..3).filter(|victim| *victim != usize::try_from(seed % 3).expect("small"));
        for victim in others {
            let verdict = lose_twice(seed, 3, victim, Told::AtAddLearner);
            assert!(verdict.is_err(), "seed {seed}, victim {victim}");
        }
    }
}

fn refusal(world: &mut World, change: Change) -> Option<Reason> {
    let leader = world.leader().expect("a leader");
    let now = world.now;
    let memory = world.vms.get_mut(&leader).and_then(|vm| vm.memory.as_mut()).expect("up");
    let outputs = memory.replica.handle(now, Input::Change { ticket: u64::MAX, change });
    outputs.into_iter().find_map(|output| match output {
        Output::Refused { reason, .. } => Some(reason),
        _ => None,
    })
}

// The operator removes a healthy member while another one is away: two voters
// would be left, one of them silent, and the group could never commit again, not
// even a change back. The leader refuses, and nothing is appended.
#[test]
fn remove_stalling() {
    let mut world = World::new(1, 3, None);
    world.until("a whole group", LIMIT, World::repaired).expect("safe");
    let leader = world.leader().expect("a leader");
    let others: Vec<_> = world.names().into_iter().filter(|name| *name != leader).collect();
    world.vms.get_mut(&others[0]).expect("known").stalled_until = Duration::MAX;
    world.run(Duration::from_secs(2)).expect("safe");
    let healthy = Change::Remove { node: others[1].clone() };
    assert_eq!(refusal(&mut world, healthy), Some(Reason::WouldStall));
    let silent = Change::Remove { node: others[0].clone() };
    assert_eq!(refusal(&mut world, silent), None);
}

// A VM with an empty disk and an old name is started without being added. The
// operator sees it as blank; it never stands or votes, however long it waits.
#[test]
fn blank_waits() {
    let mut world = World::new(2, 3, None);
    world.until("a whole group", LIMIT, World::repaired).expect("safe");
    let lost = world.names()[0].clone();
    lose(&mut world, &lost);
    world.vms.get_mut(&lost).expect("known").restart_at = world.now;
    world.run(Duration::from_secs(10)).expect("safe");
    let status = world.memory(&lost).expect("up").replica.status(world.now);
    assert_eq!((status.role, status.term, status.last), (Role::Blank, 0, 0));
    let seen = world.leader().and_then(|name| world.memory(&name)).expect("a leader");
    let members = seen.replica.status(world.now).members;
    let silent: Vec<_> = members.iter().filter(|it| it.silent).map(|it| &it.node).collect();
    assert_eq!(silent, [&lost]);
}
