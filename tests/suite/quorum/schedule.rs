//! Faults in a fixed schedule that random faults would rarely produce.

use std::time::Duration;

use hemlockfield::fake::Conditions;
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

use super::checker::CheckResult;
use super::checker::ensure;
use super::cluster::Cluster;
use super::cluster::TIMEOUT_PREFIX;
use super::mutant::Mutant;

const TIMEOUT: Duration = Duration::from_secs(20);
const SEEDS: u64 = 20;
/// One-way delay of messages; long enough to cut a link between a message and its answer.
const DELAY: Duration = Duration::from_millis(40);

/// Cuts all links except those among `group`.
fn isolate(cluster: &mut Cluster, group: &[&NodeId]) {
    cluster.net.heal_all();
    let names = cluster.names();
    for one in &names {
        for other in names.iter().filter(|it| !group.contains(it) || !group.contains(&one)) {
            cluster.net.cut_both(one, other);
        }
    }
}

fn role(cluster: &Cluster, name: &NodeId) -> Role {
    cluster.status(name).role
}

fn last(cluster: &Cluster, name: &NodeId) -> Index {
    cluster.memory(name).expect("the VM is up").log.last()
}

fn last_term(cluster: &Cluster, name: &NodeId) -> u64 {
    cluster.memory(name).expect("the VM is up").log.entries.back().map_or(0, |entry| entry.term)
}

fn leader_of(cluster: &Cluster, group: &[&NodeId]) -> Option<NodeId> {
    let mut leaders = group.iter().filter(|name| role(cluster, name) == Role::Leader);
    leaders.next().map(|name| (*name).clone())
}

/// Schedule of figure 8 of the Raft paper.
fn old_term(seed: u64, mutant: Option<Mutant>) -> CheckResult {
    let mut cluster = Cluster::new(seed, 5, mutant);
    cluster.net.conditions =
        Conditions { delay_min: DELAY, delay_max: DELAY, ..Conditions::reliable() };
    let names = cluster.names();
    let all: Vec<_> = names.iter().collect();
    cluster.run_until("a first leader", TIMEOUT, |it| leader_of(it, &all).is_some())?;
    let first = leader_of(&cluster, &all).ok_or("no leader")?;
    cluster.run(Duration::from_secs(1))?;
    let others: Vec<_> = names.iter().filter(|name| **name != first).collect();
    let (a, rest) = (others[0], &others[1..]);

    // The first leader's entry reaches only `a`.
    isolate(&mut cluster, &[&first, a]);
    cluster.propose(&first)?;
    let index = last(&cluster, &first);
    cluster.run_until("the entry at one other", TIMEOUT, |it| last(it, a) == index)?;

    // One of the rest is elected, and its first entry reaches no other replica.
    isolate(&mut cluster, rest);
    let term = cluster.status(&first).term;
    let candidate = |cluster: &Cluster| {
        rest.iter()
            .find(|name| cluster.memory(name).expect("the VM is up").log.term > term)
            .copied()
    };
    cluster.run_until("a candidate", TIMEOUT, |it| candidate(it).is_some())?;
    let second = candidate(&cluster).ok_or("no candidate")?;
    cluster.run(DELAY + DELAY / 2)?;
    names.iter().for_each(|name| cluster.net.cut(second, name));
    cluster.run_until("a second leader", TIMEOUT, |it| role(it, second) == Role::Leader)?;
    let others: Vec<_> = rest.iter().filter(|name| **name != second).copied().collect();
    let (b, c) = (others[0], others[1]);

    // The old entry now reaches a majority; the third leader's own entry does not.
    isolate(&mut cluster, &[&first, a, b]);
    cluster.run_until("the entry at a majority", TIMEOUT, |it| last(it, b) == index)?;
    let third = leader_of(&cluster, &[&first, a]).ok_or("no third leader")?;
    cluster.net.cut(&third, b);
    cluster.run(DELAY * 4)?;

    // The second leader returns with an entry of a higher term at that index.
    isolate(&mut cluster, &[second, b, c]);
    cluster.run_until("a fourth leader", TIMEOUT, |it| leader_of(it, &[second, b, c]).is_some())?;
    let has_second_term = last_term(&cluster, b) >= term;
    cluster.net.heal_all();
    cluster.run(Duration::from_secs(3))?;
    ensure(has_second_term, || format!("{TIMEOUT_PREFIX}: the term of the second leader"))
}

// Guards against the loss of an accepted command. An entry of term 1 reaches a majority
// under a leader of term 3, whose own entry does not, and is then overwritten by the leader
// of term 2. Only entries of the leader's own term may be committed by counting copies.
#[test]
fn commit_old_term_waits() {
    let results: Vec<_> = (0..SEEDS).map(|seed| old_term(seed, None)).collect();
    assert!(results.iter().filter(|result| result.is_ok()).count() >= 2, "{results:?}");
    let is_unsafe =
        |result: &CheckResult| result.as_ref().is_err_and(|it| !it.starts_with(TIMEOUT_PREFIX));
    assert!(!results.iter().any(is_unsafe), "{results:?}");
    let mutant = Mutant::Replica(Fault::OldTermCommit);
    let mut mutants = (0..SEEDS).filter_map(|seed| old_term(seed, Some(mutant)).err());
    assert!(mutants.any(|it| it.contains("leads term")), "not found");
}

/// Returns a healthy cluster of `size` VMs with one accepted command, and its leader.
pub(super) fn healthy_cluster(seed: u64, size: usize) -> (Cluster, NodeId) {
    let mut cluster = Cluster::new(seed, size, None);
    cluster
        .run_until("a healthy cluster", TIMEOUT, Cluster::tolerates_one_more_loss)
        .expect("no violation");
    let leader = cluster.leader().expect("a leader");
    cluster.propose(&leader).expect("no violation");
    cluster.run(Duration::from_secs(1)).expect("no violation");
    (cluster, leader)
}

/// Directions in which a replica is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cut {
    Both,
    Inbound,
    Outbound,
}

pub(super) fn cut(cluster: &mut Cluster, name: &NodeId, cut: Cut) {
    for other in cluster.names() {
        if cut != Cut::Outbound {
            cluster.net.cut(&other, name);
        }
        if cut != Cut::Inbound {
            cluster.net.cut(name, &other);
        }
    }
}

// A follower is cut off for a minute, in one or both directions, and returns. Its status is
// silent, but it deposes no leader, even on its return: the others still hear the leader and
// refuse the pre-vote, so the term stays the same.
#[rstest]
fn follower_cut(#[values(Cut::Both, Cut::Inbound, Cut::Outbound)] way: Cut) {
    for seed in 0..10 {
        let (mut cluster, leader) = healthy_cluster(seed, 3);
        let term = cluster.status(&leader).term;
        let follower =
            cluster.names().into_iter().find(|name| *name != leader).expect("another VM");
        cut(&mut cluster, &follower, way);
        cluster.run(Duration::from_secs(60)).expect("no violation");
        let status = cluster.status(&leader);
        let member = status.members.iter().find(|member| member.node == follower);
        assert!(member.is_some_and(|member| member.silent), "seed {seed}: {status:?}");
        assert!(!status.tolerates_one_more_loss);
        cluster.net.heal_all();
        cluster.run_until("a healthy cluster", TIMEOUT, Cluster::is_healthy).expect("no violation");
        let after = cluster.status(&leader);
        assert_eq!((after.role, after.term), (Role::Leader, term), "seed {seed}");
    }
}

// A leader is cut off, in one or both directions. Another leader accepts commands within 3 s.
// A leader that can't send is replaced by an election; one that receives nothing steps down
// by check-quorum.
#[rstest]
fn leader_cut(#[values(Cut::Both, Cut::Inbound, Cut::Outbound)] way: Cut) {
    for seed in 0..10 {
        let (mut cluster, leader) = healthy_cluster(seed, 3);
        cut(&mut cluster, &leader, way);
        let limit = Duration::from_secs(3);
        let accepts = |cluster: &Cluster| cluster.leader().is_some_and(|name| name != leader);
        cluster.run_until("another leader", limit, accepts).expect("within the limit");
        let second = cluster.leader().expect("a leader");
        let before = cluster.checker.accepted.len();
        cluster.propose(&second).expect("no violation");
        cluster
            .run_until("a command", limit, |it| it.checker.accepted.len() > before)
            .expect("within the limit");
        cluster
            .run_until("the old one steps down", limit, |it| role(it, &leader) != Role::Leader)
            .expect("within the limit");
    }
}

// A member with a valid certificate sends messages with extreme values. The replica must
// neither panic nor commit anything because of them.
#[test]
fn receive_extremes() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    let follower = cluster.names().into_iter().find(|name| *name != leader).expect("another VM");
    let commit = cluster.status(&leader).commit;
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
            let term = cluster.status(to).term;
            let message = Message { body: body.clone(), disk: 0, term, to: 0 };
            cluster
                .input(to, Input::Receive { from: from.clone(), message })
                .expect("no violation");
            assert_eq!(cluster.status(to).commit, commit, "{body:?}");
        }
    }
}

// A burst arrives while no majority answers. Proposals above the limit are refused at once,
// so that the leader's memory stays bounded.
#[test]
fn propose_full() {
    let (mut cluster, leader) = healthy_cluster(1, 3);
    cut(&mut cluster, &leader, Cut::Both);
    let now = cluster.now;
    let memory =
        cluster.vms.get_mut(&leader).and_then(|vm| vm.memory.as_mut()).expect("the VM is up");
    let full = (0..100).find(|ticket| {
        let command = vec![0; 500];
        let outputs = memory.replica.handle(now, Input::Propose { ticket: *ticket, command });
        outputs.iter().any(|it| matches!(it, Output::Refused { reason: Reason::Full, .. }))
    });
    assert_eq!(full, Some(8), "4096 bytes hold 8 commands of 500");
}

// A leader appends commands while cut off, is deposed, truncates them and leads again. It
// must not count the truncated copies as synced: the checker requires that a majority has
// synced each accepted command.
#[test]
fn deposed_leader_returns() {
    let mut returned = 0;
    for seed in 0..20 {
        let (mut cluster, first) = healthy_cluster(seed, 3);
        cut(&mut cluster, &first, Cut::Both);
        (0..30).for_each(|_| cluster.propose(&first).expect("no violation"));
        let other = |it: &Cluster| it.leader().is_some_and(|name| name != first);
        cluster.run_until("another leader", TIMEOUT, other).expect("within the limit");
        cluster.net.heal_all();
        cluster.run_until("a healthy cluster", TIMEOUT, Cluster::is_healthy).expect("no violation");
        let second = cluster.leader().expect("a leader");
        cut(&mut cluster, &second, Cut::Both);
        let third = |it: &Cluster| it.leader().is_some_and(|name| name != second);
        cluster.run_until("a third leader", TIMEOUT, third).expect("within the limit");
        let third = cluster.leader().expect("a leader");
        returned += u32::from(third == first);
        for _ in 0..40 {
            cluster.propose(&third).expect("no violation");
            cluster.step().expect("no violation");
        }
    }
    assert!(returned > 0, "the first leader never led again");
}

/// Election timeout of these clusters.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

// All VMs lose power and restart together, and callers are refused until one of them leads.
// Replicas that have heard no leader since their start ask for pre-votes early, so a leader
// is elected within the shortest election timeout.
#[test]
fn election_after_restart() {
    for seed in 0..20 {
        let (mut cluster, _) = healthy_cluster(seed, 5);
        for name in cluster.names() {
            let now = cluster.now;
            let vm = cluster.vms.get_mut(&name).expect("the VM exists");
            vm.crash(false);
            vm.restart_at = now;
        }
        let result =
            cluster.run_until("a leader", ELECTION_TIMEOUT, |cluster| cluster.leader().is_some());
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}
