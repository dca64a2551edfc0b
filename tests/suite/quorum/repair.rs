//! A second VM lost right after a repair.

use std::time::Duration;

use hemlockfield::id::NodeId;
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
        Told::ByVerdict => added && memory.replica.tolerates_one_more_loss(),
    }
}

/// Loses a disk, repairs, and loses `victim` at the moment of the verdict.
fn lose_twice(seed: u64, size: usize, victim: usize, told: Told) -> Verdict {
    let mut world = World::new(seed, size, None);
    world.until("a whole group", LIMIT, World::tolerates_one_more_loss)?;
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
            let stopped = Err("nothing is accepted any more".to_owned());
            assert_eq!(verdict, stopped, "seed {seed}, victim {victim}");
        }
    }
}

// Callers read all the time, in every step. The operator's verdict still comes:
// what a member must have reached moves on with the clock, not with the rounds
// that reads start.
#[test]
fn repaired_under_reads() {
    let mut world = World::new(3, 3, None);
    let end = world.now + LIMIT;
    while !world.tolerates_one_more_loss() {
        assert!(world.now < end, "no verdict");
        if let Some(leader) = world.leader() {
            world.read(&leader).expect("safe");
            world.propose(&leader).expect("safe");
        }
        world.step().expect("safe");
    }
}

// A VM with an empty disk and an old name is started without being added. The
// operator sees it as blank; it never stands or votes, however long it waits.
#[test]
fn blank_waits() {
    let mut world = World::new(2, 3, None);
    world.until("a whole group", LIMIT, World::tolerates_one_more_loss).expect("safe");
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
