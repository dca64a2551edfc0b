//! Cluster of one VM.

use std::time::Duration;

use hemlockfield::quorum::Input;
use hemlockfield::quorum::Membership;
use hemlockfield::quorum::Output;
use hemlockfield::quorum::Recovered;
use hemlockfield::quorum::Replica;
use hemlockfield::quorum::Setup;

use super::cluster::Cluster;

const TIMEOUT: Duration = Duration::from_secs(20);

// A cluster of one VM, as on a developer's machine, elects itself after its vote is synced
// and accepts commands.
#[test]
fn single_leads() {
    let mut cluster = Cluster::new(1, 1, None);
    cluster
        .run_until("a leader", TIMEOUT, |cluster| cluster.leader().is_some())
        .expect("within the limit");
    let leader = cluster.leader().expect("a leader");
    cluster.propose(&leader).expect("no violation");
    cluster
        .run_until("a command", TIMEOUT, |it| !it.checker.accepted.is_empty())
        .expect("within the limit");
    assert!(!cluster.tolerates_one_more_loss(), "one disk tolerates no loss");
}

// A single replica whose disk never reports a sync must not become leader.
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

// Commands may be large, as whole configurations are. The entries kept behind a snapshot for
// slow followers must be bounded in bytes, not only in number.
#[test]
fn snapshot_keeps_few_bytes() {
    let mut cluster = Cluster::new(1, 1, None);
    cluster
        .run_until("a leader", TIMEOUT, |cluster| cluster.leader().is_some())
        .expect("within the limit");
    let leader = cluster.leader().expect("a leader");
    for ticket in 0..4 {
        let command = vec![0; 300];
        cluster.input(&leader, Input::Propose { ticket, command }).expect("no violation");
    }
    cluster.run(Duration::from_secs(1)).expect("no violation");
    let index = cluster.status(&leader).commit;
    cluster.input(&leader, Input::Snapshot { index, bytes: Vec::new() }).expect("no violation");
    assert_eq!(cluster.status(&leader).entries, 324, "one of four entries is kept");
}
