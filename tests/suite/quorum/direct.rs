//! Accidents in a fixed order, where chance would hardly find it.

use std::time::Duration;

use hemlockfield::fake::Weather;
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Fault;
use hemlockfield::quorum::Role;

use super::checker::Verdict;
use super::checker::ensure;
use super::mutant::Mutant;
use super::world::World;

/// How a run says that the schedule did not come about, since another one won.
const LATE: &str = "not within";
const LIMIT: Duration = Duration::from_secs(20);
const SEEDS: u64 = 20;
/// One way; long enough to cut between a message and its answer.
const DELAY: Duration = Duration::from_millis(40);

/// Only `group` may talk, and only among itself.
fn isolate(world: &mut World, group: &[&NodeId]) {
    world.net.heal_all();
    let names = world.names();
    for one in &names {
        for other in names.iter().filter(|it| !group.contains(it) || !group.contains(&one)) {
            world.net.cut_both(one, other);
        }
    }
}

fn role(world: &World, name: &NodeId) -> Role {
    world.memory(name).expect("up").replica.status(world.now).role
}

fn last(world: &World, name: &NodeId) -> Index {
    world.memory(name).expect("up").log.last()
}

fn last_term(world: &World, name: &NodeId) -> u64 {
    world.memory(name).expect("up").log.entries.back().map_or(0, |entry| entry.term)
}

fn leader_of(world: &World, group: &[&NodeId]) -> Option<NodeId> {
    let mut leaders = group.iter().filter(|name| role(world, name) == Role::Leader);
    leaders.next().map(|name| (*name).clone())
}

/// The case of figure 8 of the Raft paper.
fn old_term(seed: u64, mutant: Option<Mutant>) -> Verdict {
    let mut world = World::new(seed, 5, mutant);
    world.net.weather = Weather { delay_min: DELAY, delay_max: DELAY, ..Weather::fair() };
    let names = world.names();
    let all: Vec<_> = names.iter().collect();
    world.until("a first leader", LIMIT, |it| leader_of(it, &all).is_some())?;
    let first = leader_of(&world, &all).ok_or("no leader")?;
    world.run(Duration::from_secs(1))?;
    let others: Vec<_> = names.iter().filter(|name| **name != first).collect();
    let (a, rest) = (others[0], &others[1..]);

    // The first leader's entry reaches `a` only.
    isolate(&mut world, &[&first, a]);
    world.propose(&first)?;
    let place = last(&world, &first);
    world.until("the entry at one other", LIMIT, |it| last(it, a) == place)?;

    // Among the rest one is elected, and nobody hears of its first entry.
    isolate(&mut world, rest);
    let term = world.memory(&first).expect("up").replica.status(world.now).term;
    let stands = |world: &World| {
        rest.iter().find(|name| world.memory(name).expect("up").log.term > term).copied()
    };
    world.until("a candidate", LIMIT, |it| stands(it).is_some())?;
    let second = stands(&world).ok_or("no candidate")?;
    world.run(DELAY + DELAY / 2)?;
    names.iter().for_each(|name| world.net.cut(second, name));
    world.until("a second leader", LIMIT, |it| role(it, second) == Role::Leader)?;
    let others: Vec<_> = rest.iter().filter(|name| **name != second).copied().collect();
    let (b, c) = (others[0], others[1]);

    // The old entry now reaches a majority, the new leader's own does not.
    isolate(&mut world, &[&first, a, b]);
    world.until("the entry at a majority", LIMIT, |it| last(it, b) == place)?;
    let third = leader_of(&world, &[&first, a]).ok_or("no third leader")?;
    world.net.cut(&third, b);
    world.run(DELAY * 4)?;

    // The second leader comes back with an entry of a higher term in that place.
    isolate(&mut world, &[second, b, c]);
    world.until("a fourth leader", LIMIT, |it| leader_of(it, &[second, b, c]).is_some())?;
    let fair = last_term(&world, b) >= term;
    world.net.heal_all();
    world.run(Duration::from_secs(3))?;
    ensure(fair, || format!("{LATE} reach: the term of the second leader"))
}

// Callers would see an accepted command vanish. An entry of term 1 gets onto a
// majority under a leader of term 3, whose own entry does not; a leader of term 2
// then overwrites it. It holds since only an entry of the own term is counted.
#[test]
fn commit_old_term_waits() {
    let verdicts: Vec<_> = (0..SEEDS).map(|seed| old_term(seed, None)).collect();
    assert!(verdicts.iter().filter(|verdict| verdict.is_ok()).count() >= 2, "{verdicts:?}");
    let late = |verdict: &Verdict| verdict.as_ref().is_err_and(|it| !it.starts_with(LATE));
    assert!(!verdicts.iter().any(late), "{verdicts:?}");
    let mutant = Mutant::Replica(Fault::OldTermCommit);
    let mut mutants = (0..SEEDS).filter_map(|seed| old_term(seed, Some(mutant)).err());
    assert!(mutants.any(|it| it.contains("leads term")), "not found");
}
