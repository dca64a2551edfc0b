//! Loss of a second VM right after a repair.

use std::time::Duration;

use hemlockfield::id::NodeId;
use hemlockfield::quorum::Role;
use rand::Rng;
use rstest::rstest;

use super::checker::CheckResult;
use super::checker::ensure;
use super::cluster::Cluster;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Signal at which the operator takes the cluster for repaired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Signal {
    /// The new member is added, which is too early.
    LearnerAdded,
    /// The leader reports that it tolerates one more loss.
    ToleratesLoss,
}

fn lose_vm(cluster: &mut Cluster, name: &NodeId) {
    let seed = cluster.random.random();
    let mutant = cluster.mutant;
    let vm = cluster.vms.get_mut(name).expect("the VM exists");
    vm.lose_disk(seed, mutant);
    // The VM stays down, so the cluster must go on without it.
    vm.restart_at = Duration::MAX;
}

fn is_signalled(cluster: &Cluster, signal: Signal, lost: &NodeId) -> bool {
    let Some(memory) = cluster.leader().and_then(|name| cluster.memory(&name)) else {
        return false;
    };
    let members = memory.replica.status(cluster.now).members;
    let disk = cluster.vms[lost].memory.as_ref().map(|it| it.replica.disk());
    let added = members.iter().any(|it| it.node == *lost && Some(it.disk) == disk);
    match signal {
        Signal::LearnerAdded => added,
        Signal::ToleratesLoss => added && memory.replica.tolerates_one_more_loss(),
    }
}

/// Loses a disk, repairs the cluster, and loses `victim` at the moment of the signal.
fn lose_twice(seed: u64, size: usize, victim: usize, signal: Signal) -> CheckResult {
    let mut cluster = Cluster::new(seed, size, None);
    cluster.run_until("a healthy cluster", TIMEOUT, Cluster::tolerates_one_more_loss)?;
    for _ in 0..40 {
        let leader = cluster.leader().ok_or("no leader")?;
        cluster.propose(&leader)?;
        cluster.step()?;
    }
    let names = cluster.names();
    let lost = names[usize::try_from(seed).expect("fits usize") % size].clone();
    lose_vm(&mut cluster, &lost);
    cluster.vms.get_mut(&lost).expect("the VM exists").restart_at = cluster.now;
    let end = cluster.now + TIMEOUT;
    while !is_signalled(&cluster, signal, &lost) {
        ensure(cluster.now < end, || "no signal".to_owned())?;
        if let Some(leader) = cluster.leader() {
            cluster.propose(&leader)?;
        }
        cluster.repair()?;
        cluster.step()?;
    }
    let second = names[victim % size].clone();
    lose_vm(&mut cluster, &second);
    let before = cluster.checker.accepted.len();
    let end = cluster.now + TIMEOUT;
    while cluster.checker.accepted.len() < before + 5 {
        ensure(cluster.now < end, || "nothing is accepted any more".to_owned())?;
        if let Some(leader) = cluster.leader() {
            cluster.propose(&leader)?;
        }
        cluster.step()?;
    }
    let leader = cluster.leader().ok_or("no leader")?;
    cluster.check_accepted(&leader)
}

// A VM that lost its disk is replaced. When the leader reports that it tolerates one more
// loss, any other VM is lost for good: the leader, an old member or the new one. Every
// accepted command must survive, and new ones must be accepted.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn tolerates_one_more_loss_after_repair(#[case] size: usize) {
    for seed in 0..30 {
        for victim in 0..size {
            let result = lose_twice(seed, size, victim, Signal::ToleratesLoss);
            assert_eq!(result, Ok(()), "seed {seed}, victim {victim}");
        }
    }
}

// Shows that `lose_twice` detects a premature signal: if the second VM is lost when the new
// member is only added as a learner, one of two voters is left and nothing can be committed.
#[test]
fn lose_twice_learner_added() {
    for seed in 0..30 {
        let others =
            (0..3).filter(|victim| *victim != usize::try_from(seed % 3).expect("fits usize"));
        for victim in others {
            let result = lose_twice(seed, 3, victim, Signal::LearnerAdded);
            let stopped = Err("nothing is accepted any more".to_owned());
            assert_eq!(result, stopped, "seed {seed}, victim {victim}");
        }
    }
}

// Callers read in every step, and each read starts a heartbeat round. The cluster must still
// report that it tolerates a loss: the index that members must have synced advances with the
// heartbeat interval, not with these rounds.
#[test]
fn tolerates_one_more_loss_under_reads() {
    let mut cluster = Cluster::new(3, 3, None);
    let end = cluster.now + TIMEOUT;
    while !cluster.tolerates_one_more_loss() {
        assert!(cluster.now < end, "no signal");
        if let Some(leader) = cluster.leader() {
            cluster.read(&leader).expect("no violation");
            cluster.propose(&leader).expect("no violation");
        }
        cluster.step().expect("no violation");
    }
}

// A VM with an empty disk and the name of a member starts without being added. Its role is
// blank, and it never votes or asks for votes.
#[test]
fn blank_stays_idle() {
    let mut cluster = Cluster::new(2, 3, None);
    cluster
        .run_until("a healthy cluster", TIMEOUT, Cluster::tolerates_one_more_loss)
        .expect("no violation");
    let lost = cluster.names()[0].clone();
    lose_vm(&mut cluster, &lost);
    cluster.vms.get_mut(&lost).expect("the VM exists").restart_at = cluster.now;
    cluster.run(Duration::from_secs(10)).expect("no violation");
    let status = cluster.memory(&lost).expect("the VM is up").replica.status(cluster.now);
    assert_eq!((status.role, status.term, status.last), (Role::Blank, 0, 0));
    let seen = cluster.leader().and_then(|name| cluster.memory(&name)).expect("a leader");
    let members = seen.replica.status(cluster.now).members;
    let silent: Vec<_> = members.iter().filter(|it| it.silent).map(|it| &it.node).collect();
    assert_eq!(silent, [&lost]);
}
