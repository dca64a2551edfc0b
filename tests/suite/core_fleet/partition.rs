//! Network partitions: one-way cuts and controls that are isolated for long.

use hemlockfield::config::Standing;
use hemlockfield::quorum::Role;
use hemlockfield::wire::Verdict;
use rstest::rstest;

use super::cluster::Cluster;
use super::cluster::id;
use super::cluster::ms;

/// Submission sent to the isolated leader.
const ISOLATED_SUBMISSION: &str = "at the cut-off one";

// The leader's network is cut in one direction or both: followers that don't hear it elect
// another, and a leader without a majority steps down. The old one must confirm nothing and
// not depose its successor on its return. If it can still send, the successor may accept what
// it replicated and then refuses the other submission.
#[rstest]
#[case::sends_nothing(true, false)]
#[case::receives_nothing(false, true)]
#[case::silent(false, false)]
fn submit_leader_isolated(
    #[case] can_receive: bool,
    #[case] can_send: bool,
    #[values(31, 32, 33, 34)] seed: u64,
) {
    let mut cluster = Cluster::with_configuration(seed, 3, 6);
    let isolated = cluster.leader();
    cluster.isolate(&isolated, can_receive, can_send);
    let isolated_ticket = cluster.begin_submit(&isolated, 2, ISOLATED_SUBMISSION);
    let next = submit_until_confirmed(&mut cluster, "e1", 2, "second");
    let overtaken = Verdict::Refused { number: 2, submission: ISOLATED_SUBMISSION.into() };
    assert!(next == Verdict::Accepted(2) || can_send && next == overtaken, "{next:?}");
    assert_eq!(submit_until_confirmed(&mut cluster, "e1", 3, "third"), Verdict::Accepted(3));
    let key = (isolated.clone(), isolated_ticket);
    cluster.run_until("a verdict of the isolated leader", |cluster| {
        cluster.verdicts.contains_key(&key)
    });
    let verdict = &cluster.verdicts[&key];
    assert!(!matches!(verdict, Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)), "{verdict:?}");
    let leader = other_leader(&mut cluster, &isolated);
    let term = cluster.quorum(&leader).term;
    cluster.net.heal_all();
    cluster
        .run_until("the isolated control to catch up", |cluster| cluster.all_have_configuration(3));
    cluster.run(ms(10_000));
    assert_eq!(cluster.leaders(), std::slice::from_ref(&leader));
    assert_eq!(cluster.quorum(&leader).term, term, "no leader was deposed");
}

// A follower is isolated for an hour while operators make changes. It must not become leader
// or accept anything. On its return it must catch up and not depose the leader, as pre-vote
// needs a majority without a leader.
#[test]
fn submit_follower_isolated() {
    let mut cluster = Cluster::with_configuration(35, 3, 6);
    let leader = cluster.leader();
    let isolated = cluster.controls().into_iter().find(|control| *control != leader).unwrap();
    cluster.isolate(&isolated, false, false);
    let term = cluster.quorum(&leader).term;
    for number in 2..=5 {
        assert_eq!(
            cluster.submit("e1", number, &format!("change-{number}")),
            Verdict::Accepted(number)
        );
        let verdict = cluster.submit(&isolated, number + 10, "at the cut-off one");
        assert_eq!(verdict, Verdict::Unconfirmed);
        assert_ne!(cluster.quorum(&isolated).role, Role::Leader);
        cluster.run(ms(900_000));
    }
    cluster.net.heal_all();
    cluster
        .run_until("the isolated control to catch up", |cluster| cluster.all_have_configuration(5));
    cluster.run(ms(10_000));
    assert_eq!(cluster.leaders(), std::slice::from_ref(&leader));
    assert_eq!(cluster.quorum(&leader).term, term, "no leader was deposed");
}

// The network from the leader to one follower is cut for an hour. The other follower hears
// the leader and grants no pre-vote, so the leader must stay in its term. The configuration
// must reach the cut follower through its peers.
#[test]
fn submit_follower_cut_from_leader() {
    let mut cluster = Cluster::with_configuration(37, 3, 6);
    let leader = cluster.leader();
    let follower = cluster.controls().into_iter().find(|control| *control != leader).unwrap();
    let term = cluster.quorum(&leader).term;
    cluster.net.cut(&leader, &follower);
    for number in 2..=5 {
        assert_eq!(
            cluster.submit("e1", number, &format!("change-{number}")),
            Verdict::Accepted(number)
        );
        cluster
            .run_until("the change everywhere", |cluster| cluster.all_have_configuration(number));
        cluster.run(ms(900_000));
        assert_eq!(cluster.leaders(), std::slice::from_ref(&leader));
        assert_eq!(cluster.quorum(&leader).term, term, "no leader was deposed");
    }
    cluster.net.heal_all();
    cluster.run_until("the cut follower to catch up", |cluster| {
        cluster.quorum(&follower).commit == cluster.quorum(&leader).commit
    });
    assert_eq!(cluster.quorum(&leader).term, term, "no leader was deposed");
}

// All controls are cut off from the entries. Entries must keep serving the configuration in
// force, refuse claims as not run and leave submissions unconfirmed. Once the network is
// back, submissions and claims must succeed.
#[test]
fn submit_controls_isolated() {
    let mut cluster = Cluster::with_configuration(36, 3, 6);
    for control in cluster.controls() {
        for entry in cluster.entries() {
            cluster.net.cut_both(&control, &entry);
        }
    }
    assert_eq!(cluster.submit("e1", 2, "second"), Verdict::Unconfirmed);
    let (_, decision) = cluster.claim("e2", "sign-off");
    assert!(matches!(decision, hemlockfield::node::ClaimDecision::Refused(_)), "{decision:?}");
    cluster.run(ms(120_000));
    for entry in cluster.entries() {
        assert_eq!(cluster.view(&entry).number, Some(1));
        assert_eq!(cluster.view(&entry).standing, Standing::Serving);
    }
    cluster.net.heal_all();
    let verdict = submit_until_confirmed(&mut cluster, "e1", 2, "second");
    assert_eq!(verdict, Verdict::Accepted(2));
    cluster.run_until("configuration 2", |cluster| cluster.all_have_configuration(2));
    let (_, decision) = cluster.claim("e2", "sign-off");
    assert_eq!(decision, hemlockfield::node::ClaimDecision::Granted);
}

/// Submits again until the result is confirmed, as an operator does.
fn submit_until_confirmed(
    cluster: &mut Cluster,
    at: &str,
    number: u64,
    submission: &str,
) -> Verdict {
    for _ in 0..10 {
        match cluster.submit(at, number, submission) {
            Verdict::Unconfirmed => (),
            settled => return settled,
        }
    }
    panic!("never confirmed");
}

fn other_leader(
    cluster: &mut Cluster,
    isolated: &hemlockfield::id::NodeId,
) -> hemlockfield::id::NodeId {
    cluster.run_until("another leader", |cluster| {
        cluster.leaders().iter().any(|leader| leader != isolated)
    });
    assert_ne!(*isolated, id("e1"));
    cluster.leaders().into_iter().find(|leader| leader != isolated).unwrap()
}
