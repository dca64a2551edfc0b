//! Resends of a non-idempotent request whose entry was killed at various points.

use hemlockfield::claim::Answer;
use hemlockfield::claim::Outcome;
use hemlockfield::node::ClaimDecision;
use rstest::rstest;

use super::cluster::CLAIM_LIMIT;
use super::cluster::Cluster;
use super::cluster::id;
use super::cluster::may_have_run;
use super::cluster::ms;

// e1 is killed before its claim reaches control, so that the request can't have been
// dispatched. The resend through e2 must be granted.
#[test]
fn resend_killed_before_claim() {
    let mut cluster = Cluster::with_configuration(11, 3, 4);
    for control in cluster.controls() {
        cluster.net.cut(&id("e1"), &control);
    }
    let first = cluster.begin_claim("e1", "sign-off-1");
    cluster.run(ms(200));
    assert!(!cluster.claimed.contains_key(&(id("e1"), first)));
    cluster.kill(&id("e1"));
    assert_eq!(cluster.claim("e2", "sign-off-1").1, ClaimDecision::Granted);
}

// e1 is killed after its claim was granted: before dispatch, after dispatch, or before control
// has recorded the outcome, as its network is cut. Control can't tell these cases apart, so
// no resend may be granted: they are in progress and, after the limit, unknown.
#[rstest]
#[case::between_claim_and_dispatch(false, false)]
#[case::after_dispatch(false, true)]
#[case::before_outcome_recorded(true, false)]
fn resend_killed_after_claim(#[case] finished: bool, #[case] restarts: bool) {
    let mut cluster = Cluster::with_configuration(12, 3, 4);
    let (ticket, first) = cluster.claim("e1", "sign-off-2");
    assert_eq!(first, ClaimDecision::Granted);
    if finished {
        for control in cluster.controls() {
            cluster.net.cut(&id("e1"), &control);
        }
        cluster.finish_claim("e1", ticket);
    }
    cluster.kill(&id("e1"));
    let (_, decision) = cluster.claim("e2", "sign-off-2");
    let by_first = |decision: &ClaimDecision| matches!(decision, ClaimDecision::Answer(Answer::InProgress { by, .. }) if by == "e1");
    assert!(by_first(&decision), "{decision:?}");
    cluster.net.heal_all();
    if restarts {
        cluster.start(&id("e1"), false);
        cluster.run(ms(2_000));
    } else {
        cluster.run(CLAIM_LIMIT);
    }
    for entry in ["e2", "e3"] {
        let (_, decision) = cluster.claim(entry, "sign-off-2");
        assert_eq!(decision, ClaimDecision::Answer(Answer::Unknown), "{entry}");
    }
}

// The entry and the leader are killed after the outcome was recorded. The resend must get
// the outcome from the next leader, as a majority has it on disk.
#[test]
fn resend_killed_with_leader_after_record() {
    let mut cluster = Cluster::with_configuration(13, 3, 4);
    let (ticket, first) = cluster.claim("e1", "sign-off-3");
    assert_eq!(first, ClaimDecision::Granted);
    cluster.finish_claim("e1", ticket);
    cluster.run_until("the outcome to be recorded", |cluster| {
        cluster.core(&id("e1")).open_claims() == 0
    });
    let leader = cluster.leader();
    cluster.kill(&id("e1"));
    cluster.kill(&leader);
    let decision = resend_until_confirmed(&mut cluster, "sign-off-3");
    assert_eq!(decision, ClaimDecision::Answer(Answer::Done(Outcome::ran(201, None))));
}

// The entry and the leader are killed right after the grant, which was sent only once a
// majority had it on disk. No resend may be granted a second run.
#[rstest]
fn resend_killed_with_leader_after_claim(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::with_configuration(seed, 3, 4);
    let (_, first) = cluster.claim("e1", "sign-off-4");
    assert_eq!(first, ClaimDecision::Granted);
    let leader = cluster.leader();
    cluster.kill(&id("e1"));
    cluster.kill(&leader);
    let decision = resend_until_confirmed(&mut cluster, "sign-off-4");
    assert!(may_have_run(&decision), "{decision:?}");
    cluster.start(&leader, false);
    cluster.run(CLAIM_LIMIT);
    let decision = resend_until_confirmed(&mut cluster, "sign-off-4");
    assert_eq!(decision, ClaimDecision::Answer(Answer::Unknown));
}

/// Resends a request that is refused as not run until there is another decision.
fn resend_until_confirmed(cluster: &mut Cluster, key: &str) -> ClaimDecision {
    for _ in 0..20 {
        let (_, decision) = cluster.claim("e2", key);
        if !matches!(decision, ClaimDecision::Refused(_)) {
            return decision;
        }
        cluster.run(ms(500));
    }
    panic!("never confirmed");
}
