//! Rules of membership, and what a member may not do.

use std::time::Duration;

use hemlockfield::fake::Weather;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Body;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Reason;
use hemlockfield::quorum::Role;

use super::direct::Cut;
use super::direct::cut;
use super::direct::whole;
use super::world::World;

const LIMIT: Duration = Duration::from_secs(20);

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

fn follower(world: &World, leader: &NodeId) -> NodeId {
    world.names().into_iter().find(|name| name != leader).expect("one")
}

fn learner() -> (NodeId, Change) {
    let node = NodeId::from("control-9");
    (node.clone(), Change::AddLearner { disk: 9, node })
}

// The operator removes a healthy member while another one is away: two voters
// would be left, one of them silent, and the group could never commit again, not
// even a change back. The leader refuses, and nothing is appended.
#[test]
fn remove_stalling() {
    let (mut world, leader) = whole(1, 3);
    let others: Vec<_> = world.names().into_iter().filter(|name| *name != leader).collect();
    cut(&mut world, &others[0], Cut::Both);
    world.run(Duration::from_secs(2)).expect("safe");
    let healthy = Change::Remove { node: others[1].clone() };
    assert_eq!(refusal(&mut world, healthy), Some(Reason::WouldStall));
    let silent = Change::Remove { node: others[0].clone() };
    assert_eq!(refusal(&mut world, silent), None);
}

// The operator removes the leader. It commits that without itself, steps down
// and stays away; another one leads, and callers go on there.
#[test]
fn remove_leader() {
    let (mut world, leader) = whole(1, 3);
    let change = Change::Remove { node: leader.clone() };
    world.input(&leader, Input::Change { ticket: u64::MAX, change }).expect("safe");
    let other = |it: &World| it.leader().is_some_and(|name| name != leader);
    world.until("another leader", LIMIT, other).expect("in time");
    world.run(Duration::from_secs(5)).expect("safe");
    assert_eq!(world.status(&leader).role, Role::Blank);
    let second = world.leader().expect("a leader");
    assert_eq!(world.status(&second).members.len(), 2);
}

// The operator promotes a learner that never answered. As a voter it would make
// majorities larger and be part of none, so the leader refuses.
#[test]
fn promote_behind() {
    let (mut world, leader) = whole(1, 3);
    let (node, add) = learner();
    assert_eq!(refusal(&mut world, Change::Promote { node: node.clone() }), Some(Reason::Unknown));
    world.input(&leader, Input::Change { ticket: u64::MAX, change: add }).expect("safe");
    world.run(Duration::from_secs(1)).expect("safe");
    assert_eq!(refusal(&mut world, Change::Promote { node }), Some(Reason::Behind));
}

// Two operators change members at once. Two changes under way could make two
// majorities that don't meet; the second is told to wait.
#[test]
fn change_overlapping() {
    let (mut world, leader) = whole(1, 3);
    let (_, add) = learner();
    let occupied = Change::AddLearner { disk: 9, node: leader };
    assert_eq!(refusal(&mut world, occupied), Some(Reason::Occupied));
    assert_eq!(refusal(&mut world, add.clone()), None);
    assert_eq!(refusal(&mut world, add), Some(Reason::Busy));
}

// A voter comes back far behind and is sent a snapshot in many parts. It is heard
// all the time, but the operator reads "repaired" only when it has synced what
// was committed before it came.
#[test]
fn repaired_behind() {
    let (mut world, leader) = whole(1, 3);
    let late = follower(&world, &leader);
    cut(&mut world, &late, Cut::Both);
    for _ in 0..60 {
        world.propose(&leader).expect("safe");
        world.step().expect("safe");
    }
    let wanted = world.checker.last_accepted();
    let delay = Duration::from_millis(20);
    world.net.weather = Weather { delay_min: delay, delay_max: delay, ..Weather::fair() };
    world.net.heal_all();
    let mut heard_behind = 0;
    while !world.tolerates_one_more_loss() {
        world.step().expect("safe");
        let members = world.status(&leader).members;
        let member = members.iter().find(|member| member.node == late).expect("a member");
        heard_behind += u32::from(!member.silent && member.matched < wanted);
        assert!(!world.tolerates_one_more_loss() || member.matched >= wanted, "{member:?}");
    }
    assert!(heard_behind > 5, "the transfer takes a while: {heard_behind}");
}

// A late message of a disk that is gone comes from a VM that has a new one. The
// leader doesn't count it: the new disk holds nothing of what it says.
#[test]
fn acknowledge_other_disk() {
    let (mut world, leader) = whole(1, 3);
    let late = follower(&world, &leader);
    cut(&mut world, &late, Cut::Both);
    world.propose(&leader).expect("safe");
    world.run(Duration::from_secs(1)).expect("safe");
    let status = world.status(&leader);
    let body = Body::Appended { matched: status.last, round: 1 };
    let message = Message { body, disk: 99, term: status.term, to: 0 };
    world.input(&leader, Input::Receive { from: late.clone(), message }).expect("safe");
    let after = world.status(&leader);
    assert_eq!(after.members, status.members);
}

// A candidate had its pre-votes when the leader was heard again. Its vote request
// raises no term with those that hear the leader, or callers would lose it.
#[test]
fn vote_refused_with_leader() {
    let (mut world, leader) = whole(1, 3);
    let voter = follower(&world, &leader);
    let term = world.status(&leader).term;
    let body = Body::Vote { last_index: 1000, last_term: 1000 };
    let message = Message { body, disk: 0, term: term + 1, to: 0 };
    let from = world.names().into_iter().find(|it| *it != leader && *it != voter).expect("one");
    world
        .input(&voter, Input::Receive { from: from.clone(), message: message.clone() })
        .expect("safe");
    world.input(&leader, Input::Receive { from, message }).expect("safe");
    assert_eq!((world.status(&voter).term, world.status(&leader).term), (term, term));
}
