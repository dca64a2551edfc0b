//! Accidents in a fixed order, where chance would hardly find it.

use std::time::Duration;

use hemlockfield::fake::Weather;
use hemlockfield::id::Index;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Body;
use hemlockfield::quorum::Entry;
use hemlockfield::quorum::Fault;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Payload;
use hemlockfield::quorum::Reason;
use hemlockfield::quorum::Role;
use rstest::rstest;

use super::checker::Verdict;
use super::checker::ensure;
use super::mutant::Mutant;
use super::world::LATE;
use super::world::World;

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
    world.status(name).role
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
    let term = world.status(&first).term;
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
    ensure(fair, || format!("{LATE}: the term of the second leader"))
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

/// A whole group of `size` with some commands, and its leader.
pub(super) fn whole(seed: u64, size: usize) -> (World, NodeId) {
    let mut world = World::new(seed, size, None);
    world.until("a whole group", LIMIT, World::tolerates_one_more_loss).expect("safe");
    let leader = world.leader().expect("a leader");
    world.propose(&leader).expect("safe");
    world.run(Duration::from_secs(1)).expect("safe");
    (world, leader)
}

/// How a replica is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cut {
    Both,
    Inbound,
    Outbound,
}

pub(super) fn cut(world: &mut World, name: &NodeId, cut: Cut) {
    for other in world.names() {
        if cut != Cut::Outbound {
            world.net.cut(&other, name);
        }
        if cut != Cut::Inbound {
            world.net.cut(name, &other);
        }
    }
}

// A follower is cut off for a minute, one way or both, and comes back. Operators
// see it silent; nobody loses a leader over it, then or on its return, since the
// others still hear the leader and refuse the pre-vote, and no term is raised.
#[rstest]
fn follower_cut(#[values(Cut::Both, Cut::Inbound, Cut::Outbound)] way: Cut) {
    for seed in 0..10 {
        let (mut world, leader) = whole(seed, 3);
        let term = world.status(&leader).term;
        let follower = world.names().into_iter().find(|name| *name != leader).expect("one");
        cut(&mut world, &follower, way);
        world.run(Duration::from_secs(60)).expect("safe");
        let status = world.status(&leader);
        let member = status.members.iter().find(|member| member.node == follower);
        assert!(member.is_some_and(|member| member.silent), "seed {seed}: {status:?}");
        assert!(!status.tolerates_one_more_loss);
        world.net.heal_all();
        world.until("a whole group", LIMIT, World::is_whole).expect("safe");
        let after = world.status(&leader);
        assert_eq!((after.role, after.term), (Role::Leader, term), "seed {seed}");
    }
}

// A leader is cut off, one way or both. Callers are refused or uncertain for two
// election timeouts at most, then another leader accepts. One that is not heard
// is voted out; one that hears nobody steps down by itself, and falls silent.
#[rstest]
fn leader_cut(#[values(Cut::Both, Cut::Inbound, Cut::Outbound)] way: Cut) {
    for seed in 0..10 {
        let (mut world, leader) = whole(seed, 3);
        cut(&mut world, &leader, way);
        let limit = Duration::from_secs(3);
        let accepts = |world: &World| world.leader().is_some_and(|name| name != leader);
        world.until("another leader", limit, accepts).expect("in time");
        let second = world.leader().expect("a leader");
        let before = world.checker.accepted.len();
        world.propose(&second).expect("safe");
        world.until("a command", limit, |it| it.checker.accepted.len() > before).expect("in time");
        world
            .until("the old one steps down", limit, |it| role(it, &leader) != Role::Leader)
            .expect("in time");
    }
}

// A wire message of nonsense, from a member whose certificate is good. The
// replica neither panics nor commits anything for it.
#[test]
fn receive_extremes() {
    let (mut world, leader) = whole(1, 3);
    let follower = world.names().into_iter().find(|name| *name != leader).expect("one");
    let commit = world.status(&leader).commit;
    let (most, round) = (u64::MAX, u64::MAX);
    let entries = vec![Entry { index: most, term: most, payload: Payload::Blank }];
    let bodies = [
        Body::Append { commit: most, entries, prev_index: most, prev_term: 1, round },
        Body::Appended { matched: most, round },
        Body::Chunked { index: most, offset: most, round },
        Body::Mismatch { hint: most, prev_index: most, round },
        Body::PreVote { last_index: most, last_term: most },
        Body::PreVoted { granted: true },
        Body::Vote { last_index: most, last_term: most },
    ];
    for body in bodies {
        for (from, to) in [(&leader, &follower), (&follower, &leader)] {
            let term = world.status(to).term;
            let message = Message { body: body.clone(), disk: 0, term, to: 0 };
            world.input(to, Input::Receive { from: from.clone(), message }).expect("safe");
            assert_eq!(world.status(to).commit, commit, "{body:?}");
        }
    }
}

// A burst while no majority answers: callers are refused at once when the limit
// is reached, marked as not run, and the leader's memory stays bounded.
#[test]
fn propose_full() {
    let (mut world, leader) = whole(1, 3);
    cut(&mut world, &leader, Cut::Both);
    let now = world.now;
    let memory = world.vms.get_mut(&leader).and_then(|vm| vm.memory.as_mut()).expect("up");
    let full = (0..100).find(|ticket| {
        let command = vec![0; 500];
        let outputs = memory.replica.handle(now, Input::Propose { ticket: *ticket, command });
        outputs.iter().any(|it| matches!(it, Output::Refused { reason: Reason::Full, .. }))
    });
    assert_eq!(full, Some(8), "4096 bytes hold 8 commands of 500");
}

// A leader writes commands while cut off, is deposed, drops them, and leads again.
// Callers get nothing accepted on the strength of the dropped copies: the checker
// wants each accepted command synced by a majority.
#[test]
fn deposed_leader_returns() {
    let mut returned = 0;
    for seed in 0..20 {
        let (mut world, first) = whole(seed, 3);
        cut(&mut world, &first, Cut::Both);
        (0..30).for_each(|_| world.propose(&first).expect("safe"));
        let other = |it: &World| it.leader().is_some_and(|name| name != first);
        world.until("another leader", LIMIT, other).expect("in time");
        world.net.heal_all();
        world.until("a whole group", LIMIT, World::is_whole).expect("safe");
        let second = world.leader().expect("a leader");
        cut(&mut world, &second, Cut::Both);
        let third = |it: &World| it.leader().is_some_and(|name| name != second);
        world.until("a third leader", LIMIT, third).expect("in time");
        let third = world.leader().expect("a leader");
        returned += u32::from(third == first);
        for _ in 0..40 {
            world.propose(&third).expect("safe");
            world.step().expect("safe");
        }
    }
    assert!(returned > 0, "the first leader never led again");
}

/// Shortest election timeout of these groups.
const SHORTEST: Duration = Duration::from_millis(300);

// All VMs lose power at once and start again together. Callers are refused until somebody
// leads; nobody has heard a leader since the start, so nobody waits for a whole election
// timeout before asking for pre-votes: a leader is there within the shortest one.
#[test]
fn until_leader_after_all_restart() {
    for seed in 0..20 {
        let (mut world, _) = whole(seed, 5);
        for name in world.names() {
            let now = world.now;
            let vm = world.vms.get_mut(&name).expect("known");
            vm.crash(false);
            vm.restart_at = now;
        }
        let verdict = world.until("a leader", SHORTEST, |world| world.leader().is_some());
        assert_eq!(verdict, Ok(()), "seed {seed}");
    }
}
