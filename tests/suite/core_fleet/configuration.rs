//! Accepted configurations stay in force.

use hemlockfield::config::Standing;
use hemlockfield::fleet::State;
use hemlockfield::wire::Verdict;
use rstest::rstest;

use super::cluster::Cluster;
use super::cluster::id;
use super::cluster::ms;

/// Changes in the log before the restart.
const CHANGES: u64 = 400;

// Entries restart one after the other while control is paused, with or without their data
// folder. Each must serve the configuration in force again and never an older one: without a
// folder it fetches it from its peers, with one its peers confirm that it is the newest.
#[rstest]
#[case::with_folder(true)]
#[case::without_folder(false)]
fn start_control_paused(#[case] keeps_folder: bool) {
    let mut cluster = Cluster::with_configuration(21, 3, 5);
    cluster.announce("hull-1", "e1", hemlockfield::registry::State::Ready);
    assert_eq!(cluster.submit("e2", 2, "second"), Verdict::Accepted(2));
    cluster.run_until("configuration 2", |cluster| cluster.all_have_configuration(2));
    for control in cluster.controls() {
        cluster.pause(&control);
    }
    cluster.run(ms(20_000));
    for entry in cluster.entries() {
        if keeps_folder {
            cluster.kill(&entry);
        } else {
            cluster.destroy(&entry);
        }
        cluster.run(ms(1_000));
        cluster.start(&entry, false);
        cluster.run_until("the entry to serve", |cluster| serves(cluster, &entry, 2));
        assert_eq!(cluster.core(&entry).monitors().count(), 1, "the service has a health monitor");
    }
    cluster.run_until("all entries to use the upstream", |cluster| {
        cluster.entries_using("hull-1").len() == 5
    });
}

// All entries restart at once on their data folders while control is paused, as after a power
// cut. No serving peer can confirm the newest configuration. After the cold-start wait each
// must serve the newest one that its folder and its peers hold.
#[test]
fn start_all_at_once_control_paused() {
    let mut cluster = Cluster::with_configuration(22, 3, 5);
    assert_eq!(cluster.submit("e2", 2, "second"), Verdict::Accepted(2));
    cluster.run_until("configuration 2", |cluster| cluster.all_have_configuration(2));
    for control in cluster.controls() {
        cluster.pause(&control);
    }
    for entry in cluster.entries() {
        cluster.kill(&entry);
        cluster.start(&entry, false);
    }
    for entry in cluster.entries() {
        cluster.run_until("the entry to serve", |cluster| serves(cluster, &entry, 2));
        assert_eq!(cluster.core(&entry).monitors().count(), 1, "the service has a health monitor");
    }
}

// The first configuration is submitted a minute after a fleet's start, when each entry has
// long confirmed that none is in force. Applying it must make the entries announce that they
// serve; otherwise no list names them.
#[test]
fn submit_first_late() {
    let mut cluster = Cluster::new(26, 3, 4);
    cluster.run(ms(60_000));
    assert_eq!(cluster.submit("e1", 1, "first"), Verdict::Accepted(1));
    cluster.run_until("configuration 1", |cluster| cluster.all_have_configuration(1));
    cluster.run(ms(5_000));
    for entry in cluster.entries() {
        let members = cluster.core(&entry).member().members();
        let serving = members.filter(|(record, _)| record.meta.state == State::Serving);
        assert!(serving.count() >= 4, "`{entry}` knows too few serving members");
        assert_eq!(cluster.view(&entry).entries.len(), 4, "`{entry}` lists too few entries");
    }
}

// An entry restarts with an outdated configuration in its folder while control is paused. It
// must not serve before it has the newer one from its peers.
#[test]
fn start_stale_folder_control_paused() {
    let mut cluster = Cluster::with_configuration(23, 3, 5);
    cluster.kill(&id("e1"));
    assert_eq!(cluster.submit("e2", 2, "second"), Verdict::Accepted(2));
    cluster.run_until("configuration 2", |cluster| cluster.all_have_configuration(2));
    for control in cluster.controls() {
        cluster.pause(&control);
    }
    cluster.start(&id("e1"), false);
    while !cluster.core(&id("e1")).standing().serves() {
        cluster.run(ms(5));
    }
    assert_eq!(cluster.configuration_number(&id("e1")), Some(2));
}

// Two operators submit different configurations with the same number at once, through
// different entries. The log must accept exactly one and refuse the other with the number and
// submission that won.
#[rstest]
fn submit_raced(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::with_configuration(seed, 3, 4);
    let tickets = [("e1", "anna"), ("e2", "bruno")].map(|(at, submission)| {
        let ticket = cluster.begin_submit(at, 2, submission);
        ((id(at), ticket), submission)
    });
    cluster.run_until("both verdicts", |cluster| {
        tickets.iter().all(|(key, _)| cluster.verdicts.contains_key(key))
    });
    let verdicts =
        tickets.clone().map(|(key, submission)| (cluster.verdicts[&key].clone(), submission));
    let accepted: Vec<&str> = verdicts
        .iter()
        .filter(|(verdict, _)| *verdict == Verdict::Accepted(2))
        .map(|(_, submission)| *submission)
        .collect();
    assert_eq!(accepted.len(), 1, "{verdicts:?}");
    let refused = Verdict::Refused { number: 2, submission: accepted[0].into() };
    assert!(verdicts.iter().any(|(verdict, _)| *verdict == refused), "{verdicts:?}");
}

// The verdict of a submission is lost on the way to e1, so that the operator sends it again
// through e2. It must be answered as already accepted, even after a later configuration.
#[test]
fn submit_resent_after_lost_answer() {
    let mut cluster = Cluster::with_configuration(24, 3, 4);
    for control in cluster.controls() {
        cluster.net.cut(&control, &id("e1"));
    }
    assert_eq!(cluster.submit("e1", 2, "second"), Verdict::Unconfirmed);
    cluster.net.heal_all();
    assert_eq!(cluster.submit("e2", 2, "second"), Verdict::AlreadyAccepted(2));
    assert_eq!(cluster.submit("e2", 3, "third"), Verdict::Accepted(3));
    assert_eq!(cluster.submit("e1", 2, "second"), Verdict::AlreadyAccepted(2));
    cluster.run_until("configuration 3", |cluster| cluster.all_have_configuration(3));
}

// The leader is lost with its disk right after it accepted a configuration. A majority has
// synced it, so it must get into force everywhere, and its number can't be used again.
#[rstest]
fn submit_leader_lost_after_accept(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut cluster = Cluster::with_configuration(seed, 3, 4);
    let leader = cluster.leader();
    assert_eq!(cluster.submit("e1", 2, "second"), Verdict::Accepted(2));
    cluster.destroy(&leader);
    cluster.run_until("configuration 2", |cluster| cluster.all_have_configuration(2));
    let refused = Verdict::Refused { number: 2, submission: "second".into() };
    assert_eq!(cluster.submit("e3", 2, "other"), refused);
    assert_eq!(cluster.submit("e3", 2, "second"), Verdict::AlreadyAccepted(2));
}

// All controls are killed at once after hundreds of changes and restart on their folders.
// They must still know every submission: a resent one is already accepted, a used number is
// refused, and the next number is accepted.
#[test]
fn start_controls_after_hundreds_of_changes() {
    let mut cluster = Cluster::with_configuration(25, 3, 3);
    for number in 2..=CHANGES {
        let verdict = cluster.submit("e1", number, &format!("change-{number}"));
        assert_eq!(verdict, Verdict::Accepted(number));
    }
    for control in cluster.controls() {
        cluster.kill(&control);
    }
    for control in cluster.controls() {
        cluster.start(&control, false);
    }
    assert_eq!(cluster.submit("e2", 2, "change-2"), Verdict::AlreadyAccepted(2));
    let refused =
        Verdict::Refused { number: CHANGES, submission: format!("change-{CHANGES}").into() };
    assert_eq!(cluster.submit("e2", CHANGES, "other"), refused);
    assert_eq!(cluster.submit("e2", CHANGES + 1, "next"), Verdict::Accepted(CHANGES + 1));
    cluster
        .run_until("the next configuration", |cluster| cluster.all_have_configuration(CHANGES + 1));
}

fn serves(cluster: &Cluster, entry: &hemlockfield::id::NodeId, number: u64) -> bool {
    let view = cluster.view(entry);
    view.standing != Standing::Starting && view.number == Some(number) && view.rules.is_some()
}
