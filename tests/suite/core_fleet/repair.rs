//! A control's VM and disk are lost, and another one right after the repair.

use hemlockfield::id::NodeId;
use hemlockfield::quorum::Change;
use hemlockfield::quorum::Role;
use hemlockfield::wire::Verdict;
use rstest::rstest;

use super::site::Site;
use super::site::id;
use super::site::ms;

// A follower is lost with its disk. The operator sees it silent in the status, and
// replaces it by c4. At the very moment at which the status says that one more loss is
// tolerated, the leader or the other old member is lost with its disk. Everything accepted
// survives and the next change is accepted: c4 counts only since it has synced all of it.
#[rstest]
#[case::leader(true)]
#[case::other(false)]
fn replace_second_loss(#[case] loses_leader: bool, #[values(41, 42, 43)] seed: u64) {
    let mut site = Site::settled(seed, 3, 4);
    for number in 2..=20 {
        let verdict = site.submit("e1", number, &format!("change-{number}"));
        assert_eq!(verdict, Verdict::Accepted(number));
    }
    let leader = site.leader();
    let others: Vec<NodeId> = site.controls().into_iter().filter(|id| *id != leader).collect();
    let (lost, other) = (&others[0], &others[1]);
    site.lose(lost);
    site.run_until("the loss to be shown", |site| {
        let members = site.quorum(&leader).members;
        members.iter().any(|member| member.node == *lost && member.silent)
    });
    site.run(ms(100));
    assert!(!site.quorum(&leader).tolerates_one_more_loss);
    replace(&mut site, &leader, lost, &id("c4"));
    site.run_until("repaired", |site| site.quorum(&leader).tolerates_one_more_loss);
    let second = if loses_leader { &leader } else { other };
    site.lose(second);
    let early = site.submit("e2", 7, "change-7");
    assert_eq!(early, Verdict::AlreadyAccepted(7));
    assert_eq!(site.submit("e2", 21, "next"), Verdict::Accepted(21));
    site.run_until("the next change", |site| site.all_at(21));
}

// The lost control comes back under its old name over an empty folder. It says that it is
// no member, and neither votes nor acknowledges: it would vouch for what it forgot. With
// the leader lost as well, nothing is accepted rather than something lost.
#[test]
fn start_lost_member_under_old_name() {
    let mut site = Site::settled(44, 3, 4);
    let leader = site.leader();
    let lost = site.controls().into_iter().find(|control| *control != leader).unwrap();
    site.lose(&lost);
    site.start(&lost, false);
    site.run(ms(5_000));
    assert_eq!(site.quorum(&lost).role, Role::Blank);
    site.lose(&leader);
    assert_eq!(site.submit("e1", 2, "second"), Verdict::Unconfirmed);
    assert_eq!(site.leaders(), Vec::<NodeId>::new());
}

/// What `hemlockfield member --new --remove` does.
fn replace(site: &mut Site, leader: &NodeId, old: &NodeId, new: &NodeId) {
    site.start_new_control(new);
    site.run_until("a disk id", |site| site.quorum(new).disk.is_some());
    let disk = site.quorum(new).disk.unwrap();
    site.change(leader, Change::AddLearner { disk, node: new.clone() }).unwrap();
    for change in [Change::Promote { node: new.clone() }, Change::Remove { node: old.clone() }] {
        while site.change(leader, change.clone()).is_err() {
            site.run(ms(100));
        }
    }
}
