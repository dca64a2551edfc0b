//! Loss of a control with its disk, and of a second one right after the repair.

use hemlockfield::id::NodeId;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Role;
use hemlockfield::wire::Verdict;
use rstest::rstest;

use super::cluster::Cluster;
use super::cluster::id;
use super::cluster::ms;

// Guards against a status that reports too early that one more loss is tolerated. A follower
// is lost with its disk and replaced by c4. As soon as the status tolerates another loss, the
// leader or the other old member is lost too. c4 must have synced all accepted changes.
#[rstest]
#[case::leader(true)]
#[case::other(false)]
fn replace_second_loss(#[case] loses_leader: bool, #[values(41, 42, 43)] seed: u64) {
    let mut cluster = Cluster::with_configuration(seed, 3, 4);
    for number in 2..=20 {
        let verdict = cluster.submit("e1", number, &format!("change-{number}"));
        assert_eq!(verdict, Verdict::Accepted(number));
    }
    let leader = cluster.leader();
    let others: Vec<NodeId> = cluster.controls().into_iter().filter(|id| *id != leader).collect();
    let (lost, other) = (&others[0], &others[1]);
    cluster.destroy(lost);
    cluster.run_until("the member to be reported silent", |cluster| {
        let members = cluster.quorum(&leader).members;
        members.iter().any(|member| member.node == *lost && member.silent)
    });
    cluster.run(ms(100));
    assert!(!cluster.quorum(&leader).tolerates_one_more_loss);
    replace(&mut cluster, &leader, lost, &id("c4"));
    cluster.run_until("the repair", |cluster| cluster.quorum(&leader).tolerates_one_more_loss);
    let second = if loses_leader { &leader } else { other };
    cluster.destroy(second);
    let early = cluster.submit("e2", 7, "change-7");
    assert_eq!(early, Verdict::AlreadyAccepted(7));
    assert_eq!(cluster.submit("e2", 21, "next"), Verdict::Accepted(21));
    cluster.run_until("the next change", |cluster| cluster.all_have_configuration(21));
}

// A lost control returns under its old name with an empty folder. It must not vote or
// acknowledge, as it has forgotten what it acknowledged before. When the leader is lost as
// well, no change may be accepted.
#[test]
fn start_lost_member_under_old_name() {
    let mut cluster = Cluster::with_configuration(44, 3, 4);
    let leader = cluster.leader();
    let lost = cluster.controls().into_iter().find(|control| *control != leader).unwrap();
    cluster.destroy(&lost);
    cluster.start(&lost, false);
    cluster.run(ms(5_000));
    assert_eq!(cluster.quorum(&lost).role, Role::Blank);
    cluster.destroy(&leader);
    assert_eq!(cluster.submit("e1", 2, "second"), Verdict::Unconfirmed);
    assert_eq!(cluster.leaders(), Vec::<NodeId>::new());
}

/// Replaces a member as `hemlockfield member --new --remove` does.
fn replace(cluster: &mut Cluster, leader: &NodeId, old: &NodeId, new: &NodeId) {
    cluster.start_new_control(new);
    cluster.run_until("a disk id", |cluster| cluster.quorum(new).disk.is_some());
    let disk = cluster.quorum(new).disk.unwrap();
    cluster.change(leader, Change::AddLearner { disk, node: new.clone() }).unwrap();
    for change in [Change::Promote { node: new.clone() }, Change::Remove { node: old.clone() }] {
        while cluster.change(leader, change.clone()).is_err() {
            cluster.run(ms(100));
        }
    }
}
