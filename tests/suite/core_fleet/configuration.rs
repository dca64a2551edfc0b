//! What operators had accepted stays in force.

use hemlockfield::config::Standing;
use hemlockfield::fleet::State;
use hemlockfield::wire::Verdict;
use rstest::rstest;

use super::site::Site;
use super::site::id;
use super::site::ms;

/// Changes before the restart: "hundreds have accumulated".
const CHANGES: u64 = 400;

// Control is stopped for good, and the entries are restarted one after the other, with
// their data folder or without. Each one serves again, by the configuration in force: one
// without a folder gets it from its peers, one with a folder hears from them that it is
// the newest. None ever puts an older one in force.
#[rstest]
#[case::with_folder(true)]
#[case::without_folder(false)]
fn start_control_stopped(#[case] keeps_folder: bool) {
    let mut site = Site::settled(21, 3, 5);
    site.announce("hull-1", "e1", hemlockfield::registry::State::Ready);
    assert_eq!(site.submit("e2", 2, "second"), Verdict::Accepted(2));
    site.run_until("configuration 2", |site| site.all_at(2));
    for control in site.controls() {
        site.stop(&control);
    }
    site.run(ms(20_000));
    for entry in site.entries() {
        if keeps_folder {
            site.kill(&entry);
        } else {
            site.lose(&entry);
        }
        site.run(ms(1_000));
        site.start(&entry, false);
        site.run_until("the entry to serve", |site| serves(site, &entry, 2));
        assert_eq!(site.core(&entry).monitors().count(), 1, "health is judged again");
    }
    site.run_until("the upstream everywhere", |site| site.users("hull-1").len() == 5);
}

// All entries restart at the same time over their data folders while control is stopped,
// as after a power cut. No peer serves yet that could vouch for the newest configuration;
// after the cold wait each serves by what its folder and its peers hold, which is the one
// accepted last.
#[test]
fn start_all_at_once_control_stopped() {
    let mut site = Site::settled(22, 3, 5);
    assert_eq!(site.submit("e2", 2, "second"), Verdict::Accepted(2));
    site.run_until("configuration 2", |site| site.all_at(2));
    for control in site.controls() {
        site.stop(&control);
    }
    for entry in site.entries() {
        site.kill(&entry);
        site.start(&entry, false);
    }
    for entry in site.entries() {
        site.run_until("the entry to serve", |site| serves(site, &entry, 2));
        assert_eq!(site.core(&entry).monitors().count(), 1, "health is judged again");
    }
}

// A new fleet stands for a minute before its operator submits the first configuration. The
// entries then serve and tell callers of each other: each had confirmed long before that
// nothing was in force, so that it is the configuration that makes it ready.
#[test]
fn submit_first_late() {
    let mut site = Site::new(26, 3, 4);
    site.run(ms(60_000));
    assert_eq!(site.submit("e1", 1, "first"), Verdict::Accepted(1));
    site.run_until("configuration 1", |site| site.all_at(1));
    site.run(ms(5_000));
    for entry in site.entries() {
        let members = site.core(&entry).member().members();
        let serving = members.filter(|(record, _)| record.meta.state == State::Serving);
        assert!(serving.count() >= 4, "`{entry}` knows of too few that serve");
        assert_eq!(site.view(&entry).entries.len(), 4, "`{entry}` lists too few");
    }
}

// An entry with an old configuration in its folder comes back while control is stopped:
// it was away while number 2 was accepted. It takes no caller before its peers told it.
#[test]
fn start_stale_folder_control_stopped() {
    let mut site = Site::settled(23, 3, 5);
    site.kill(&id("e1"));
    assert_eq!(site.submit("e2", 2, "second"), Verdict::Accepted(2));
    site.run_until("configuration 2", |site| site.all_at(2));
    for control in site.controls() {
        site.stop(&control);
    }
    site.start(&id("e1"), false);
    while !site.core(&id("e1")).standing().serves() {
        site.run(ms(5));
    }
    assert_eq!(site.number(&id("e1")), Some(2));
}

// Two operators submit different configurations with the same number at the same moment,
// through different entries. One is told "accepted"; the other is refused and told what is
// in force and by which submission. Which one wins is the order of the log.
#[rstest]
fn submit_raced(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut site = Site::settled(seed, 3, 4);
    let tickets = [("e1", "anna"), ("e2", "bruno")].map(|(at, submission)| {
        let ticket = site.begin_submit(at, 2, submission);
        ((id(at), ticket), submission)
    });
    site.run_until("both verdicts", |site| {
        tickets.iter().all(|(key, _)| site.verdicts.contains_key(key))
    });
    let verdicts =
        tickets.clone().map(|(key, submission)| (site.verdicts[&key].clone(), submission));
    let accepted: Vec<&str> = verdicts
        .iter()
        .filter(|(verdict, _)| *verdict == Verdict::Accepted(2))
        .map(|(_, submission)| *submission)
        .collect();
    assert_eq!(accepted.len(), 1, "{verdicts:?}");
    let refused = Verdict::Refused { number: 2, submission: accepted[0].into() };
    assert!(verdicts.iter().any(|(verdict, _)| *verdict == refused), "{verdicts:?}");
}

// The operator's answer is lost: e1 is heard by control and does not hear it. The operator
// is told that nothing could be confirmed, and sends the same submission again through e2:
// it is told "already accepted", also after a later configuration went into force.
#[test]
fn submit_resent_after_lost_answer() {
    let mut site = Site::settled(24, 3, 4);
    for control in site.controls() {
        site.net.cut(&control, &id("e1"));
    }
    assert_eq!(site.submit("e1", 2, "second"), Verdict::Unconfirmed);
    site.net.heal_all();
    assert_eq!(site.submit("e2", 2, "second"), Verdict::AlreadyAccepted(2));
    assert_eq!(site.submit("e2", 3, "third"), Verdict::Accepted(3));
    assert_eq!(site.submit("e1", 2, "second"), Verdict::AlreadyAccepted(2));
    site.run_until("configuration 3", |site| site.all_at(3));
}

// The leading control is lost, with its disk, at the moment at which the operator reads
// "accepted". The configuration goes into force everywhere all the same, since a majority
// had synced it; the number can't be used again.
#[rstest]
fn submit_leader_lost_after_accept(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut site = Site::settled(seed, 3, 4);
    let leader = site.leader();
    assert_eq!(site.submit("e1", 2, "second"), Verdict::Accepted(2));
    site.lose(&leader);
    site.run_until("configuration 2", |site| site.all_at(2));
    let refused = Verdict::Refused { number: 2, submission: "second".into() };
    assert_eq!(site.submit("e3", 2, "other"), refused);
    assert_eq!(site.submit("e3", 2, "second"), Verdict::AlreadyAccepted(2));
}

// Hundreds of changes, then every control is killed at once and restarted over its folder.
// The last configuration is in force, an early submission that is resent is still told
// "already accepted", an old number is refused, and the next one is accepted.
#[test]
fn start_controls_after_hundreds_of_changes() {
    let mut site = Site::settled(25, 3, 3);
    for number in 2..=CHANGES {
        let verdict = site.submit("e1", number, &format!("change-{number}"));
        assert_eq!(verdict, Verdict::Accepted(number));
    }
    for control in site.controls() {
        site.kill(&control);
    }
    for control in site.controls() {
        site.start(&control, false);
    }
    assert_eq!(site.submit("e2", 2, "change-2"), Verdict::AlreadyAccepted(2));
    let refused =
        Verdict::Refused { number: CHANGES, submission: format!("change-{CHANGES}").into() };
    assert_eq!(site.submit("e2", CHANGES, "other"), refused);
    assert_eq!(site.submit("e2", CHANGES + 1, "next"), Verdict::Accepted(CHANGES + 1));
    site.run_until("the next one", |site| site.all_at(CHANGES + 1));
}

fn serves(site: &Site, entry: &hemlockfield::id::NodeId, number: u64) -> bool {
    let view = site.view(entry);
    view.standing != Standing::Starting && view.number == Some(number) && view.rules.is_some()
}
