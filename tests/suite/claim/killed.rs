//! Entries that are killed at each stage of a request.
//!
//! In each test the caller gets no answer, since its entry is killed, and resends with the
//! same key through another entry.

use hemlockfield::claim::Answer;
use hemlockfield::claim::Outcome;
use hemlockfield::fake::Conditions;
use rstest::rstest;

use super::cluster::CLAIM_LIMIT;
use super::cluster::Cluster;
use super::cluster::Response;
use super::cluster::ms;

/// The entry is killed before its claim reaches control. Nothing ran, and the resend is
/// granted.
#[test]
fn resend_killed_before_claim() {
    let mut cluster = Cluster::new(1, Conditions::reliable());
    cluster.run(ms(100));
    cluster.cut("a", true, false);
    cluster.begin("a", 1, "k");
    cluster.kill("a");
    assert_eq!(cluster.resend("b", 1, "k"), Response::Granted);
}

/// The entry is killed between grant and dispatch, after dispatch, or before the outcome is
/// recorded, which control can't tell apart. The resend must not be granted: it gets "in
/// progress", then "unknown" after the limit, or at once when the entry restarts.
#[rstest]
#[case::before_dispatch(false, false)]
#[case::after_dispatch(false, true)]
#[case::before_record(true, false)]
fn resend_killed_after_claim(#[case] finished: bool, #[case] restarts: bool) {
    let mut cluster = Cluster::new(2, Conditions::reliable());
    cluster.begin("a", 1, "k");
    cluster.run(ms(100));
    assert_eq!(cluster.response("a", 1), Some(&Response::Granted));
    if finished {
        cluster.cut("a", true, false);
        cluster.finish("a", 1);
    }
    cluster.kill("a");
    let response = cluster.resend("b", 1, "k");
    assert!(
        matches!(response, Response::Answer(Answer::InProgress { ref by, .. }) if by == "a"),
        "{response:?}"
    );
    if restarts {
        cluster.start("a", 2);
        assert_eq!(cluster.resend("a", 1_001, "k"), Response::Answer(Answer::Unknown));
    }
    cluster.run(CLAIM_LIMIT);
    assert_eq!(cluster.resend("c", 1, "k"), Response::Answer(Answer::Unknown));
}

/// The entry is killed after the outcome was recorded. The resend gets the outcome.
#[test]
fn resend_killed_after_record() {
    let mut cluster = Cluster::new(3, Conditions::reliable());
    cluster.begin("a", 1, "k");
    cluster.run(ms(100));
    cluster.finish("a", 1);
    cluster.run(ms(100));
    cluster.kill("a");
    assert_eq!(
        cluster.resend("b", 1, "k"),
        Response::Answer(Answer::Done(Outcome::ran(201, None)))
    );
}
