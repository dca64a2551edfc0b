//! Rules of membership changes, and messages that a replica must ignore.

use std::time::Duration;

use hemlockfield::fake::Conditions;
use hemlockfield::id::NodeId;
use hemlockfield::quorum::Body;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Input;
use hemlockfield::quorum::Message;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Reason;
use hemlockfield::quorum::Role;

use super::cluster::Cluster;
use super::schedule::Cut;
use super::schedule::cut;
use super::schedule::healthy_cluster;

const TIMEOUT: Duration = Duration::from_secs(20);

fn refusal(cluster: &mut Cluster, change: Change) -> Option<Reason> {
    let leader = cluster.leader().expect("a leader");
    let now = cluster.now;
    let memory =
        cluster.vms.get_mut(&leader).and_then(|vm| vm.memory.as_mut()).expect("the VM is up");
    let outputs = memory.replica.handle(now, Input::Change { ticket: u64::MAX, change });
    outputs.into_iter().find_map(|output| match output {
        Output::Refused { reason, .. } => Some(reason),
        _ => None,
    })
}

fn follower(cluster: &Cluster, leader: &NodeId) -> NodeId {
    cluster.names().into_iter().find(|name| name != leader).expect("another VM")
}

fn learner() -> (NodeId, Change) {
    let node = NodeId::from("control-9");
    (node.clone(), Change::AddLearner { disk: 9, node })
}

// An operator removes a healthy member while another one is unreachable. Of the two voters
// left, one would be silent, and the cluster could never commit again, not even a change
// that restores the membership. The leader must refuse.
#[test]
fn remove_would_stall() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let others: Vec<_> = cluster.names().into_iter().filter(|name| *name != leader).collect();
    cut(&mut cluster, &others[0], Cut::Both);
    cluster.run(Duration::from_secs(2)).expect("no violation");
    let healthy = Change::Remove { node: others[1].clone() };
    assert_eq!(refusal(&mut cluster, healthy), Some(Reason::WouldStall));
    let silent = Change::Remove { node: others[0].clone() };
    assert_eq!(refusal(&mut cluster, silent), None);
}

// An operator removes the leader. It commits the change without counting itself, steps down
// and is no member afterwards; another replica leads.
#[test]
fn remove_leader() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let change = Change::Remove { node: leader.clone() };
    cluster.input(&leader, Input::Change { ticket: u64::MAX, change }).expect("no violation");
    let other = |it: &Cluster| it.leader().is_some_and(|name| name != leader);
    cluster.run_until("another leader", TIMEOUT, other).expect("within the limit");
    cluster.run(Duration::from_secs(5)).expect("no violation");
    assert_eq!(cluster.status(&leader).role, Role::Blank);
    let second = cluster.leader().expect("a leader");
    assert_eq!(cluster.status(&second).members.len(), 2);
}

// An operator promotes a learner that never answered. As a voter it would raise the size of
// a majority without being part of one, so the leader must refuse.
#[test]
fn promote_behind() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let (node, add) = learner();
    assert_eq!(
        refusal(&mut cluster, Change::Promote { node: node.clone() }),
        Some(Reason::Unknown)
    );
    cluster.input(&leader, Input::Change { ticket: u64::MAX, change: add }).expect("no violation");
    cluster.run(Duration::from_secs(1)).expect("no violation");
    assert_eq!(refusal(&mut cluster, Change::Promote { node }), Some(Reason::Behind));
}

// Two operators change the membership at once. Two uncommitted changes could lead to two
// majorities that don't overlap, so the second change is refused as busy.
#[test]
fn change_overlapping() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let (_, add) = learner();
    let occupied = Change::AddLearner { disk: 9, node: leader };
    assert_eq!(refusal(&mut cluster, occupied), Some(Reason::Occupied));
    assert_eq!(refusal(&mut cluster, add.clone()), None);
    assert_eq!(refusal(&mut cluster, add), Some(Reason::Busy));
}

// A voter returns far behind and receives a snapshot in many chunks. It is heard all the
// time, but the cluster must not report that it tolerates a loss before the voter has synced
// what was accepted before its return.
#[test]
fn tolerates_one_more_loss_behind() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let lagging = follower(&cluster, &leader);
    cut(&mut cluster, &lagging, Cut::Both);
    for _ in 0..60 {
        cluster.propose(&leader).expect("no violation");
        cluster.step().expect("no violation");
    }
    let wanted = cluster.checker.last_accepted();
    let delay = Duration::from_millis(20);
    cluster.net.conditions =
        Conditions { delay_min: delay, delay_max: delay, ..Conditions::reliable() };
    cluster.net.heal_all();
    let mut heard_behind = 0;
    while !cluster.tolerates_one_more_loss() {
        cluster.step().expect("no violation");
        let members = cluster.status(&leader).members;
        let member = members.iter().find(|member| member.node == lagging).expect("a member");
        heard_behind += u32::from(!member.silent && member.matched < wanted);
        assert!(!cluster.tolerates_one_more_loss() || member.matched >= wanted, "{member:?}");
    }
    assert!(heard_behind > 5, "the transfer takes a while: {heard_behind}");
}

// An acknowledgement arrives for a disk that is not the member's current one. The leader
// must not count it, since the member's disk may not hold those entries.
#[test]
fn acknowledge_other_disk() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let lagging = follower(&cluster, &leader);
    cut(&mut cluster, &lagging, Cut::Both);
    cluster.propose(&leader).expect("no violation");
    cluster.run(Duration::from_secs(1)).expect("no violation");
    let status = cluster.status(&leader);
    let body = Body::Appended { matched: status.last, round: 1 };
    let message = Message { body, disk: 99, term: status.term, to: 0 };
    cluster
        .input(&leader, Input::Receive { from: lagging.clone(), message })
        .expect("no violation");
    let after = cluster.status(&leader);
    assert_eq!(after.members, status.members);
}

// A candidate wins its pre-votes just before the leader is heard again. Its vote request must
// not raise the term of replicas that hear the leader, or the leader would be deposed.
#[test]
fn vote_refused_with_leader() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let voter = follower(&cluster, &leader);
    let term = cluster.status(&leader).term;
    let body = Body::Vote { last_index: 1000, last_term: 1000 };
    let message = Message { body, disk: 0, term: term + 1, to: 0 };
    let from =
        cluster.names().into_iter().find(|it| *it != leader && *it != voter).expect("another VM");
    cluster
        .input(&voter, Input::Receive { from: from.clone(), message: message.clone() })
        .expect("no violation");
    cluster.input(&leader, Input::Receive { from, message }).expect("no violation");
    assert_eq!((cluster.status(&voter).term, cluster.status(&leader).term), (term, term));
}
