//! One-way cuts, and a control that is cut off in silence for long.

use hemlockfield::config::Standing;
use hemlockfield::quorum::Role;
use hemlockfield::wire::Verdict;
use rstest::rstest;

use super::site::Site;
use super::site::id;
use super::site::ms;

/// Submission of the operator who still uses the cut-off control.
const THERE: &str = "at the cut-off one";

// The leading control hears everybody and is heard by nobody, or the reverse. Operators
// see a pause of some seconds at most, then submissions are accepted elsewhere: followers
// that don't hear their leader elect another, and a leader that hears no majority steps
// down. The old leader confirms nothing meanwhile, and does not depose anyone on its return.
// What was submitted there while it was still heard may be accepted by its successor, and
// then the other operator is refused with that one's submission: still one of the two.
#[rstest]
#[case::not_heard(true, false)]
#[case::hears_nothing(false, true)]
#[case::silent(false, false)]
fn submit_leader_cut_off(
    #[case] hears: bool,
    #[case] is_heard: bool,
    #[values(31, 32, 33, 34)] seed: u64,
) {
    let mut site = Site::settled(seed, 3, 6);
    let cut = site.leader();
    site.cut_off(&cut, hears, is_heard);
    let there = site.begin_submit(&cut, 2, THERE);
    let next = accept(&mut site, "e1", 2, "second");
    let overtaken = Verdict::Refused { number: 2, submission: THERE.into() };
    assert!(next == Verdict::Accepted(2) || is_heard && next == overtaken, "{next:?}");
    assert_eq!(accept(&mut site, "e1", 3, "third"), Verdict::Accepted(3));
    let place = (cut.clone(), there);
    site.run_until("an answer there", |site| site.verdicts.contains_key(&place));
    let told = &site.verdicts[&place];
    assert!(!matches!(told, Verdict::Accepted(_) | Verdict::AlreadyAccepted(_)), "{told:?}");
    let leader = other_leader(&mut site, &cut);
    let term = site.quorum(&leader).term;
    site.net.heal_all();
    site.run_until("the cut-off one to catch up", |site| site.all_at(3));
    site.run(ms(10_000));
    assert_eq!(site.leaders(), std::slice::from_ref(&leader));
    assert_eq!(site.quorum(&leader).term, term, "nobody was deposed");
}

// A control that follows is cut off in silence for an hour, while operators make
// changes. It never counts as leader and accepts nothing. When it is back it takes over
// what was accepted, and the leader stays, as pre-vote wants a majority that misses it.
#[test]
fn submit_follower_cut_off_for_an_hour() {
    let mut site = Site::settled(35, 3, 6);
    let leader = site.leader();
    let cut = site.controls().into_iter().find(|control| *control != leader).unwrap();
    site.cut_off(&cut, false, false);
    let term = site.quorum(&leader).term;
    for number in 2..=5 {
        assert_eq!(
            site.submit("e1", number, &format!("change-{number}")),
            Verdict::Accepted(number)
        );
        let verdict = site.submit(&cut, number + 10, "at the cut-off one");
        assert_eq!(verdict, Verdict::Unconfirmed);
        assert_ne!(site.quorum(&cut).role, Role::Leader);
        site.run(ms(900_000));
    }
    site.net.heal_all();
    site.run_until("the cut-off one to catch up", |site| site.all_at(5));
    site.run(ms(10_000));
    assert_eq!(site.leaders(), std::slice::from_ref(&leader));
    assert_eq!(site.quorum(&leader).term, term, "nobody was deposed");
}

// One control does not hear the leader, but hears and is heard by the other one, for an
// hour. Operators and callers notice nothing: the other one hears the leader and grants no
// pre-vote, so that no term is started and the leader goes on; the configuration reaches
// the deaf one by way of its peers.
#[test]
fn submit_follower_deaf_to_leader() {
    let mut site = Site::settled(37, 3, 6);
    let leader = site.leader();
    let deaf = site.controls().into_iter().find(|control| *control != leader).unwrap();
    let term = site.quorum(&leader).term;
    site.net.cut(&leader, &deaf);
    for number in 2..=5 {
        assert_eq!(
            site.submit("e1", number, &format!("change-{number}")),
            Verdict::Accepted(number)
        );
        site.run_until("the change everywhere", |site| site.all_at(number));
        site.run(ms(900_000));
        assert_eq!(site.leaders(), std::slice::from_ref(&leader));
        assert_eq!(site.quorum(&leader).term, term, "nobody was deposed");
    }
    site.net.heal_all();
    site.run_until("the log there", |site| {
        site.quorum(&deaf).commit == site.quorum(&leader).commit
    });
    assert_eq!(site.quorum(&leader).term, term, "nobody was deposed");
}

// All controls are cut off from the entries, in silence. Callers are served on by what is
// in force, claims are refused as not run, operators are told that nothing could be
// confirmed; nothing was accepted that way, and the next submission is.
#[test]
fn submit_all_controls_cut_off() {
    let mut site = Site::settled(36, 3, 6);
    for control in site.controls() {
        for entry in site.entries() {
            site.net.cut_both(&control, &entry);
        }
    }
    assert_eq!(site.submit("e1", 2, "second"), Verdict::Unconfirmed);
    let (_, told) = site.claim("e2", "sign-off");
    assert!(matches!(told, hemlockfield::node::ClaimDecision::Refused(_)), "{told:?}");
    site.run(ms(120_000));
    for entry in site.entries() {
        assert_eq!(site.view(&entry).number, Some(1));
        assert_eq!(site.view(&entry).standing, Standing::Serving);
    }
    site.net.heal_all();
    let verdict = accept(&mut site, "e1", 2, "second");
    assert_eq!(verdict, Verdict::Accepted(2));
    site.run_until("configuration 2", |site| site.all_at(2));
    let (_, told) = site.claim("e2", "sign-off");
    assert_eq!(told, hemlockfield::node::ClaimDecision::Granted);
}

/// Submits as an operator does: again until there is an answer.
fn accept(site: &mut Site, at: &str, number: u64, submission: &str) -> Verdict {
    for _ in 0..10 {
        match site.submit(at, number, submission) {
            Verdict::Unconfirmed => (),
            settled => return settled,
        }
    }
    panic!("never confirmed");
}

fn other_leader(site: &mut Site, cut: &hemlockfield::id::NodeId) -> hemlockfield::id::NodeId {
    site.run_until("another leader", |site| site.leaders().iter().any(|leader| leader != cut));
    assert_ne!(*cut, id("e1"));
    site.leaders().into_iter().find(|leader| leader != cut).unwrap()
}
