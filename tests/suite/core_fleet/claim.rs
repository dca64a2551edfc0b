//! An entry is lost at each point of a non-idempotent request, and the caller resends.

use hemlockfield::claim::Answer;
use hemlockfield::claim::Outcome;
use hemlockfield::node::ClaimDecision;
use rstest::rstest;

use super::site::LIMIT;
use super::site::Site;
use super::site::id;
use super::site::is_never_again;
use super::site::ms;

// The caller signs off through e1, gets no answer and resends through e2. e1 is killed
// while its claim has not reached control: its way there is cut. Nothing was dispatched,
// since that needs a grant; the resend is granted, and is the one run.
#[test]
fn resend_killed_before_claim() {
    let mut site = Site::settled(11, 3, 4);
    for control in site.controls() {
        site.net.cut(&id("e1"), &control);
    }
    let first = site.begin_claim("e1", "sign-off-1");
    site.run(ms(200));
    assert!(!site.claimed.contains_key(&(id("e1"), first)));
    site.kill(&id("e1"));
    assert_eq!(site.claim("e2", "sign-off-1").1, ClaimDecision::Granted);
}

// The caller resends through e2 and later e3 after e1 was killed: with the grant in hand
// and nothing dispatched, after dispatch, or with the outcome known and its report under
// way on a cut path. Control can't tell these apart. Each resend is told "in progress",
// then "unknown" after the limit; none is granted, for the first may have run.
#[rstest]
#[case::between_claim_and_dispatch(false, false)]
#[case::after_dispatch(false, true)]
#[case::before_outcome_recorded(true, false)]
fn resend_killed_after_claim(#[case] finished: bool, #[case] restarts: bool) {
    let mut site = Site::settled(12, 3, 4);
    let (ticket, first) = site.claim("e1", "sign-off-2");
    assert_eq!(first, ClaimDecision::Granted);
    if finished {
        for control in site.controls() {
            site.net.cut(&id("e1"), &control);
        }
        site.finish("e1", ticket);
    }
    site.kill(&id("e1"));
    let (_, told) = site.claim("e2", "sign-off-2");
    let by_first = |told: &ClaimDecision| matches!(told, ClaimDecision::Answer(Answer::InProgress { by, .. }) if by == "e1");
    assert!(by_first(&told), "{told:?}");
    site.net.heal_all();
    if restarts {
        site.start(&id("e1"), false);
        site.run(ms(2_000));
    } else {
        site.run(LIMIT);
    }
    for entry in ["e2", "e3"] {
        let (_, told) = site.claim(entry, "sign-off-2");
        assert_eq!(told, ClaimDecision::Answer(Answer::Unknown), "{entry}");
    }
}

// The caller's entry is killed after the outcome was recorded, and the leading control
// with it. The resend through e2 gets the outcome from the next leader: what was
// acknowledged is on a majority's disks.
#[test]
fn resend_killed_with_leader_after_record() {
    let mut site = Site::settled(13, 3, 4);
    let (ticket, first) = site.claim("e1", "sign-off-3");
    assert_eq!(first, ClaimDecision::Granted);
    site.finish("e1", ticket);
    site.run_until("the record", |site| site.core(&id("e1")).open_claims() == 0);
    let leader = site.leader();
    site.kill(&id("e1"));
    site.kill(&leader);
    let told = until_confirmed(&mut site, "sign-off-3");
    assert_eq!(told, ClaimDecision::Answer(Answer::Done(Outcome::ran(201, None))));
}

// The entry and the leading control are lost right after the grant, while the request is
// dispatched. Whatever the resends are told, none is granted a second run: a grant is
// sent only when a majority has it on disk.
#[rstest]
fn resend_killed_with_leader_after_claim(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut site = Site::settled(seed, 3, 4);
    let (_, first) = site.claim("e1", "sign-off-4");
    assert_eq!(first, ClaimDecision::Granted);
    let leader = site.leader();
    site.kill(&id("e1"));
    site.kill(&leader);
    let told = until_confirmed(&mut site, "sign-off-4");
    assert!(is_never_again(&told), "{told:?}");
    site.start(&leader, false);
    site.run(LIMIT);
    let told = until_confirmed(&mut site, "sign-off-4");
    assert_eq!(told, ClaimDecision::Answer(Answer::Unknown));
}

/// A caller that resends what is refused as not run, until it learns more.
fn until_confirmed(site: &mut Site, key: &str) -> ClaimDecision {
    for _ in 0..20 {
        let (_, told) = site.claim("e2", key);
        if !matches!(told, ClaimDecision::Refused(_)) {
            return told;
        }
        site.run(ms(500));
    }
    panic!("never confirmed");
}
