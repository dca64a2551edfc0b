//! The entries' side, over lost, late and doubled messages.

use std::time::Duration;

use hemlockfield::claim::Action;
use hemlockfield::claim::Answer;
use hemlockfield::claim::ClaimId;
use hemlockfield::claim::Message;
use hemlockfield::claim::Outcome;
use hemlockfield::fake::Weather;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::proptest;

use super::site::Site;
use super::site::Told;
use super::site::ms;

fn rough() -> Weather {
    Weather { loss: 0.2, duplication: 0.2, delay_min: ms(1), delay_max: ms(60) }
}

#[test]
fn begin_and_finish() {
    let mut site = Site::new(1, Weather::fair());
    site.begin("a", 1, "k");
    site.run(ms(10));
    assert_eq!(site.told("a", 1), Some(&Told::Granted));
    site.finish("a", 1);
    site.run(ms(10));
    assert_eq!(site.agents["a"].pending(), 0);
    assert_eq!(site.resend("b", 1, "k"), Told::Answer(Answer::Done(Outcome::ran(201, None))));
}

/// The grant is committed, but its receipt never arrives. The caller is refused
/// as not run, in time. The entry then tells control, so that the caller's resend
/// through another entry runs at once and does not find the key in use.
#[test]
fn begin_lost_grant() {
    let mut site = Site::new(2, Weather::fair());
    site.run(ms(100));
    site.cut("a", false, true);
    site.begin_by("a", 1, "k", site.now + ms(500));
    site.run(ms(499));
    assert_eq!(site.told("a", 1), None);
    site.run(ms(2));
    assert_eq!(site.told("a", 1), Some(&Told::Refused));
    assert_eq!(site.resend("b", 1, "k"), Told::Granted);
}

/// Control is unreachable for hours: a keyed request is refused as not run after
/// 2 s, and the next ones after half a second, since nothing has answered. What
/// ended before is reported once control is back, and requests are granted again.
#[test]
fn begin_control_away() {
    let mut site = Site::new(3, Weather::fair());
    site.begin("a", 1, "k");
    site.run(ms(100));
    site.leader = None;
    site.finish("a", 1);
    site.begin_by("a", 2, "l", site.now + Duration::from_secs(60));
    site.run(ms(2_001));
    assert_eq!(site.told("a", 2), Some(&Told::Refused));
    site.begin("a", 3, "m");
    site.run(ms(501));
    assert_eq!(site.told("a", 3), Some(&Told::Refused));
    site.now += Duration::from_secs(3 * 3600);
    site.leader = Some(2);
    site.run(ms(20_000));
    assert_eq!(site.agents["a"].pending(), 0);
    assert_eq!(site.resend("b", 1, "k"), Told::Answer(Answer::Done(Outcome::ran(201, None))));
    assert_eq!(site.resend("b", 2, "l"), Told::Granted);
}

/// The leader is cut off, or falls silent with the claim in hand. The caller does
/// not notice: the entry turns to the next replica, which knows the new leader.
#[test]
fn begin_leader_lost() {
    let mut site = Site::new(4, Weather::fair());
    site.run(ms(100));
    site.leader = Some(2);
    site.net.cut_both(&"a".into(), &"c0".into());
    site.begin("a", 1, "k");
    site.run(ms(350));
    assert_eq!(site.told("a", 1), Some(&Told::Granted));
}

#[test]
fn abandon_proved_not_run() {
    let mut site = Site::new(5, Weather::fair());
    site.begin("a", 1, "k");
    site.run(ms(100));
    site.abandon("a", 1);
    site.run(ms(100));
    assert_eq!(site.resend("b", 1, "k"), Told::Granted);
}

/// An entry restarts while a grant for its earlier process is under way. The new
/// process has a claim of the same sequence for another key; the late grant is not
/// taken for it, since it names the earlier incarnation.
#[test]
fn begin_grant_to_earlier_process() {
    let slow = Weather { delay_min: ms(50), delay_max: ms(50), ..Weather::fair() };
    let mut site = Site::new(8, slow);
    site.begin("a", 1, "k");
    site.run(ms(60));
    site.leader = None;
    site.start("a", 2);
    site.begin("a", 2, "l");
    site.run(ms(3_000));
    assert_eq!(site.told("a", 2), Some(&Told::Refused));
}

/// An entry sends a claim twice, since control is slow, and is told that another
/// entry runs the request. That one then gives the key up, and the second copy of
/// the first claim arrives. It must not take the key, for nobody waits for it: the
/// entry has told control, and the caller's next try is granted.
#[test]
fn begin_late_copy_of_answered_claim() {
    let mut site = Site::new(9, Weather::fair());
    site.begin("b", 1, "k");
    site.run(ms(100));
    site.leader = None;
    site.begin("a", 1, "k");
    site.run(ms(700));
    site.leader = Some(0);
    site.run(ms(1_000));
    assert!(matches!(site.told("a", 1), Some(Told::Answer(Answer::InProgress { .. }))));
    site.abandon("b", 1);
    site.run(ms(100));
    let request = site.request("k");
    let claim = ClaimId { entry: "a".into(), incarnation: 1, sequence: 1 };
    let message = Message::Submit(vec![Action::Claim { claim, request }]);
    site.net.send(site.now, &"a".into(), &"c0".into(), postcard::to_stdvec(&message).unwrap());
    site.run(ms(100));
    assert_eq!(site.resend("c", 1, "k"), Told::Granted);
}

/// Two hundred requests arrive at once. They share a few messages and syncs.
#[test]
fn begin_burst() {
    let mut site = Site::new(6, Weather::fair());
    site.run(ms(100));
    (1..=200).for_each(|ticket| site.begin("a", ticket, &ticket.to_string()));
    site.run(ms(12));
    assert!((1..=200).all(|ticket| site.told("a", ticket) == Some(&Told::Granted)));
}

#[test]
fn begin_over_limit() {
    let mut site = Site::new(7, Weather::fair());
    site.leader = None;
    (1..=2_100).for_each(|ticket| site.begin("a", ticket, &ticket.to_string()));
    assert_eq!(site.told("a", 2_048), None);
    assert_eq!(site.told("a", 2_049), Some(&Told::Refused));
}

/// One step of a caller, an entry or a fault.
fn step(site: &mut Site, ticket: u64, kind: u8, entry: u8, key: u8) {
    let entry = ["a", "b", "c"][usize::from(entry)];
    let granted = |site: &Site| {
        (1..ticket).rev().find(|ticket| site.told(entry, *ticket) == Some(&Told::Granted))
    };
    match kind {
        0..=5 => {
            site.begin_by(entry, ticket, &key.to_string(), site.now + ms(u64::from(key) * 100));
        }
        6 => granted(site).into_iter().for_each(|ticket| site.finish(entry, ticket)),
        7 => site.start(entry, ticket + 1),
        8 => site.leader = if key < 3 { Some(usize::from(key)) } else { None },
        9 => site.cut(entry, key.is_multiple_of(2), key > 2),
        10 => site.net.heal_all(),
        _ => site.run(ms(u64::from(key) * 300)),
    }
    site.run(ms(u64::from(key) * 7));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Whatever is lost, doubled, late, cut, killed or resent, no key is granted
    /// twice; the site checks it at each grant. No step here abandons a grant.
    #[test]
    fn begin_any_faults(
        seed in any::<u64>(),
        steps in prop::collection::vec((0..12_u8, 0..3_u8, 0..6_u8), 1..60),
    ) {
        let mut site = Site::new(seed, rough());
        for (ticket, (kind, entry, key)) in (1..).zip(steps) {
            step(&mut site, ticket, kind, entry, key);
        }
        site.net.heal_all();
        site.leader = Some(1);
        site.run(ms(12_000));
    }
}
