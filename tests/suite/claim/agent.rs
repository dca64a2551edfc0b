//! Agents over a network that loses, delays and duplicates messages.

use std::time::Duration;

use hemlockfield::claim::Action;
use hemlockfield::claim::Answer;
use hemlockfield::claim::ClaimId;
use hemlockfield::claim::Message;
use hemlockfield::claim::Outcome;
use hemlockfield::fake::Conditions;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;

use super::cluster::Cluster;
use super::cluster::Response;
use super::cluster::ms;

fn lossy_conditions() -> Conditions {
    Conditions { loss: 0.2, duplication: 0.2, delay_min: ms(1), delay_max: ms(60) }
}

#[test]
fn begin_and_finish() {
    let mut cluster = Cluster::new(1, Conditions::reliable());
    cluster.begin("a", 1, "k");
    cluster.run(ms(10));
    assert_eq!(cluster.response("a", 1), Some(&Response::Granted));
    cluster.finish("a", 1);
    cluster.run(ms(10));
    assert_eq!(cluster.agents["a"].pending(), 0);
    assert_eq!(
        cluster.resend("b", 1, "k"),
        Response::Answer(Answer::Done(Outcome::ran(201, None)))
    );
}

/// The grant is committed, but its receipt never arrives, and the caller is refused as not
/// run at its deadline. The entry must then abandon the claim, so that the caller's resend
/// through another entry is granted instead of finding the key in use.
#[test]
fn begin_lost_grant() {
    let mut cluster = Cluster::new(2, Conditions::reliable());
    cluster.run(ms(100));
    cluster.cut("a", false, true);
    cluster.begin_by("a", 1, "k", cluster.now + ms(500));
    cluster.run(ms(499));
    assert_eq!(cluster.response("a", 1), None);
    cluster.run(ms(2));
    assert_eq!(cluster.response("a", 1), Some(&Response::Refused));
    assert_eq!(cluster.resend("b", 1, "k"), Response::Granted);
}

/// Control is unreachable for hours. The first request is refused as not run after 2 s, and
/// later ones after half a second. When control is back, earlier outcomes are reported and
/// requests are granted again.
#[test]
fn begin_control_away() {
    let mut cluster = Cluster::new(3, Conditions::reliable());
    cluster.begin("a", 1, "k");
    cluster.run(ms(100));
    cluster.leader = None;
    cluster.finish("a", 1);
    cluster.begin_by("a", 2, "l", cluster.now + Duration::from_secs(60));
    cluster.run(ms(2_001));
    assert_eq!(cluster.response("a", 2), Some(&Response::Refused));
    cluster.begin("a", 3, "m");
    cluster.run(ms(501));
    assert_eq!(cluster.response("a", 3), Some(&Response::Refused));
    cluster.now += Duration::from_secs(3 * 3600);
    cluster.leader = Some(2);
    cluster.run(ms(20_000));
    assert_eq!(cluster.agents["a"].pending(), 0);
    assert_eq!(
        cluster.resend("b", 1, "k"),
        Response::Answer(Answer::Done(Outcome::ran(201, None)))
    );
    assert_eq!(cluster.resend("b", 2, "l"), Response::Granted);
}

/// The entry can't reach the old leader. It must switch to the next replica, which redirects
/// it to the new leader, within the caller's deadline.
#[test]
fn begin_leader_lost() {
    let mut cluster = Cluster::new(4, Conditions::reliable());
    cluster.run(ms(100));
    cluster.leader = Some(2);
    cluster.net.cut_both(&"a".into(), &"c0".into());
    cluster.begin("a", 1, "k");
    cluster.run(ms(350));
    assert_eq!(cluster.response("a", 1), Some(&Response::Granted));
}

#[test]
fn abandon_proved_not_run() {
    let mut cluster = Cluster::new(5, Conditions::reliable());
    cluster.begin("a", 1, "k");
    cluster.run(ms(100));
    cluster.abandon("a", 1);
    cluster.run(ms(100));
    assert_eq!(cluster.resend("b", 1, "k"), Response::Granted);
}

/// An entry restarts while a grant for its earlier process is in flight, and the new process
/// claims another key with the same sequence. The late grant names the earlier incarnation
/// and must not be applied to the new claim.
#[test]
fn begin_grant_to_earlier_process() {
    let slow = Conditions { delay_min: ms(50), delay_max: ms(50), ..Conditions::reliable() };
    let mut cluster = Cluster::new(8, slow);
    cluster.begin("a", 1, "k");
    cluster.run(ms(60));
    cluster.leader = None;
    cluster.start("a", 2);
    cluster.begin("a", 2, "l");
    cluster.run(ms(3_000));
    assert_eq!(cluster.response("a", 2), Some(&Response::Refused));
}

/// An entry sends a claim twice, since control is slow, and learns that another entry runs
/// the request. The other entry then abandons the key, and the second copy of the claim
/// arrives. It must not take the key: the first entry has abandoned its claim, and the
/// caller's resend must be granted.
#[test]
fn begin_late_copy_of_answered_claim() {
    let mut cluster = Cluster::new(9, Conditions::reliable());
    cluster.begin("b", 1, "k");
    cluster.run(ms(100));
    cluster.leader = None;
    cluster.begin("a", 1, "k");
    cluster.run(ms(700));
    cluster.leader = Some(0);
    cluster.run(ms(1_000));
    assert!(matches!(cluster.response("a", 1), Some(Response::Answer(Answer::InProgress { .. }))));
    cluster.abandon("b", 1);
    cluster.run(ms(100));
    let request = cluster.request("k");
    let claim = ClaimId { entry: "a".into(), incarnation: 1, sequence: 1 };
    let message = Message::Submit(vec![Action::Claim { claim, request }]);
    cluster.net.send(
        cluster.now,
        &"a".into(),
        &"c0".into(),
        postcard::to_stdvec(&message).unwrap(),
    );
    cluster.run(ms(100));
    assert_eq!(cluster.resend("c", 1, "k"), Response::Granted);
}

/// Two hundred requests that arrive at once are granted together, since they share messages
/// and syncs.
#[test]
fn begin_burst() {
    let mut cluster = Cluster::new(6, Conditions::reliable());
    cluster.run(ms(100));
    (1..=200).for_each(|ticket| cluster.begin("a", ticket, &ticket.to_string()));
    cluster.run(ms(12));
    assert!((1..=200).all(|ticket| cluster.response("a", ticket) == Some(&Response::Granted)));
}

#[test]
fn begin_over_limit() {
    let mut cluster = Cluster::new(7, Conditions::reliable());
    cluster.leader = None;
    (1..=2_100).for_each(|ticket| cluster.begin("a", ticket, &ticket.to_string()));
    assert_eq!(cluster.response("a", 2_048), None);
    assert_eq!(cluster.response("a", 2_049), Some(&Response::Refused));
}

/// One random step: a request, its end, a restart, a fault or a pause.
fn step(cluster: &mut Cluster, ticket: u64, kind: u8, entry: u8, key: u8) {
    let entry = ["a", "b", "c"][usize::from(entry)];
    let granted = |cluster: &Cluster| {
        (1..ticket)
            .rev()
            .find(|ticket| cluster.response(entry, *ticket) == Some(&Response::Granted))
    };
    match kind {
        0..=5 => {
            cluster.begin_by(
                entry,
                ticket,
                &key.to_string(),
                cluster.now + ms(u64::from(key) * 100),
            );
        }
        6 => granted(cluster).into_iter().for_each(|ticket| cluster.finish(entry, ticket)),
        7 => cluster.start(entry, ticket + 1),
        8 => cluster.leader = if key < 3 { Some(usize::from(key)) } else { None },
        9 => cluster.cut(entry, key.is_multiple_of(2), key > 2),
        10 => cluster.net.heal_all(),
        _ => cluster.run(ms(u64::from(key) * 300)),
    }
    cluster.run(ms(u64::from(key) * 7));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No key is granted twice, whatever is lost, duplicated, delayed, cut off, restarted or
    /// resent. The cluster checks it at each grant; no step here abandons a grant.
    #[test]
    fn begin_any_faults(
        seed in any::<u64>(),
        steps in prop::collection::vec((0..12_u8, 0..3_u8, 0..6_u8), 1..60),
    ) {
        let mut cluster = Cluster::new(seed, lossy_conditions());
        for (ticket, (kind, entry, key)) in (1..).zip(steps) {
            step(&mut cluster, ticket, kind, entry, key);
        }
        cluster.net.heal_all();
        cluster.leader = Some(1);
        cluster.run(ms(12_000));
    }
}
