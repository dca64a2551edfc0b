//! Announced upstreams in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::fleet;
use hemlockfield::id::NodeId;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::Input;
use hemlockfield::registry::Output;
use hemlockfield::registry::Refusal;
use hemlockfield::registry::Registry;
use hemlockfield::registry::State;
use hemlockfield::registry::Trial;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// 44 entries and 30 upstreams that all entries use.
fn settled(seed: u64) -> Trial {
    let mut trial = Trial::new(seed, 44);
    (0..30).for_each(|index| trial.announce(index, Trial::announcement(index)));
    trial.run(SECOND * 10);
    for index in 0..30 {
        assert_eq!(trial.users(&Trial::announcement(index).upstream).len(), 44);
    }
    trial
}

fn drain(trial: &mut Trial, index: usize, entry: usize) {
    let announcement = Announcement { state: State::Draining, ..Trial::announcement(index) };
    trial.announce(entry, announcement);
}

fn refusals(trial: &Trial) -> Vec<Refusal> {
    let refusal = |output: &Output| match output {
        Output::Refused { refusal, .. } => Some(refusal.clone()),
        _ => None,
    };
    trial.events.iter().filter_map(|(_, _, output)| refusal(output)).collect()
}

fn home(trial: &Trial, index: usize) -> NodeId {
    let upstream = Trial::announcement(index).upstream;
    let registry = trial.registries.values().next().expect("registry");
    registry.get(&upstream).and_then(|known| known.home.clone()).expect("home")
}

#[test]
fn announce_renewals_do_not_spread() {
    // Thirty upstreams renew for five minutes and nothing changes. Entries other
    // than the homes must hear nothing of it, or 6,200 upstreams would fill the links.
    let mut trial = settled(1);
    trial.events.clear();
    trial.sent.clear();
    trial.run(SECOND * 300);
    let changed = |output: &Output| matches!(output, Output::Changed { .. });
    assert!(!trial.events.iter().any(|(_, _, output)| changed(output)));
    let each = trial.sent.values().sum::<u64>() / 44 / 300;
    assert!(each < 100, "{each} bytes a second a node");
}

#[test]
fn drain_reaches_every_entry_within_3_s() {
    let mut trial = settled(2);
    drain(&mut trial, 4, 17);
    trial.run(SECOND * 3);
    assert!(trial.users(&Trial::announcement(4).upstream).is_empty());
    assert!(trial.longest <= 1100);
}

#[rstest]
#[case::alone(1)]
#[case::four_together(4)]
#[case::twelve_together(12)]
fn drain_reaches_entries_cut_off_from_the_rest(#[case] group: usize) {
    // Entries lose the fleet but not the upstreams. An upstream drains at another
    // entry in the same moment, so nobody can tell those cut off. Their neighbours
    // stop answering, so nobody vouches any more, and their own probes tell.
    let mut trial = settled(3);
    let cut: Vec<NodeId> = (20..20 + group).map(fleet::Trial::id).collect();
    trial.cut_off(&cut);
    drain(&mut trial, 4, 1);
    trial.run(SECOND * 3);
    assert!(trial.users(&Trial::announcement(4).upstream).is_empty());
    // The others are still given work by those cut off: they answer the probes.
    trial.run(SECOND * 2);
    let users = trial.users(&Trial::announcement(5).upstream);
    assert!(cut.iter().all(|id| users.contains(id)));
}

#[test]
fn drain_does_not_wait_behind_a_bulk_of_announcements() {
    // Two thousand upstreams are announced at once, more than the byte allowance
    // lets through in a while. One that was there before drains right then.
    let mut trial = settled(14);
    trial.announce(1, Trial::announcement(9999));
    trial.run(SECOND * 5);
    (100..2100).for_each(|index| trial.announce(index % 44, Trial::announcement(index)));
    trial.run(SECOND);
    drain(&mut trial, 9999, 17);
    trial.run(SECOND * 3);
    assert!(trial.users(&Trial::announcement(9999).upstream).is_empty());
    let last = Trial::announcement(2099).upstream;
    assert!(trial.users(&last).len() < 44);
    trial.run(SECOND * 120);
    assert_eq!(trial.users(&last).len(), 44);
}

#[test]
fn drain_known_from_an_answer_alone() {
    // An upstream drains but its announcement is lost. The first answer that says so
    // takes it out everywhere.
    let mut trial = settled(4);
    let upstream = Trial::announcement(7).upstream;
    let incarnation = Some(Trial::announcement(7).incarnation);
    let input = Input::Answered { draining: true, incarnation, upstream: upstream.clone() };
    trial.input(&fleet::Trial::id(3), input);
    trial.run(SECOND * 3);
    assert!(trial.users(&upstream).is_empty());
}

#[test]
fn answered_without_incarnation_speaks_for_one_entry() {
    let mut trial = settled(5);
    let upstream = Trial::announcement(7).upstream;
    let input =
        |draining| Input::Answered { draining, incarnation: None, upstream: upstream.clone() };
    trial.input(&fleet::Trial::id(3), input(true));
    trial.run(SECOND);
    assert_eq!(trial.users(&upstream).len(), 43);
    trial.input(&fleet::Trial::id(3), input(false));
    assert_eq!(trial.users(&upstream).len(), 44);
}

#[test]
fn home_dies_and_the_next_keeps_the_lease() {
    // The entry that keeps an upstream's lease dies. The upstream finds another entry
    // for its renewals; the next home takes the lease over, and the upstream is
    // usable at all times. When it dies too, the new home lets the lease run out.
    let mut trial = settled(6);
    let upstream = Trial::announcement(9).upstream;
    let old = home(&trial, 9);
    trial.kill(&old);
    for _ in 0..60 {
        trial.run(SECOND);
        assert!(trial.users(&upstream).len() >= 40);
    }
    assert_ne!(home(&trial, 9), old);
    trial.announced.remove(&upstream);
    trial.run(SECOND * 20);
    assert!(trial.users(&upstream).is_empty());
}

#[test]
fn lease_runs_out_and_the_upstream_comes_back() {
    let mut trial = settled(7);
    let upstream = Trial::announcement(3).upstream;
    trial.announced.remove(&upstream);
    trial.run(SECOND * 20);
    assert!(trial.users(&upstream).is_empty());
    trial.announce(30, Trial::announcement(3));
    trial.run(SECOND * 3);
    assert_eq!(trial.users(&upstream).len(), 44);
}

#[test]
fn region_back_keeps_the_upstreams_in_use() {
    // A region loses the others and their upstreams for five minutes, and lets those
    // leases run out. When the sides meet, its verdicts spread to the others; the
    // upstreams are in use all the same, by their answers, until they have renewed.
    let mut trial = settled(15);
    let region = trial.fleet.region("r1");
    trial.cut_off(&region);
    trial.apart = region.iter().cloned().collect();
    trial.run(SECOND * 300);
    trial.apart.clear();
    trial.heal();
    let expired = |trial: &Trial| {
        let gone = |output: &Output| matches!(output, Output::Changed { state: State::Gone, .. });
        trial.events.iter().filter(|(_, _, output)| gone(output)).count()
    };
    assert!(expired(&trial) > 0);
    for _ in 0..300 {
        trial.run(SECOND / 10);
        for index in 0..30 {
            let users = trial.users(&Trial::announcement(index).upstream);
            let others = users.iter().filter(|id| !region.contains(id)).count();
            assert!(others >= 30, "{index}: {others} at {:?}", trial.now());
        }
    }
    let upstream = |index| Trial::announcement(index).upstream;
    assert!((0..30).all(|index| trial.users(&upstream(index)).len() == 44));
}

#[test]
fn late_announcement_after_a_drained_lease_ran_out() {
    let mut trial = settled(16);
    drain(&mut trial, 4, 17);
    let upstream = Trial::announcement(4).upstream;
    trial.announced.remove(&upstream);
    trial.run(SECOND * 20);
    trial.input(&fleet::Trial::id(40), Input::Announce(Trial::announcement(4)));
    assert_eq!(refusals(&trial), vec![Refusal::Draining { upstream }]);
}

#[test]
fn restart_at_another_address_and_a_late_announcement() {
    // An upstream restarts at another address. Then an announcement of its former
    // life arrives at another entry. It is refused, and nobody uses the old address.
    let mut trial = settled(8);
    let old = Trial::announcement(2);
    let address = SocketAddr::from(([127, 9, 9, 9], 8080));
    let fresh = Announcement { address, incarnation: old.incarnation + 1, ..old.clone() };
    trial.announce(5, fresh);
    trial.run(SECOND * 2);
    trial.input(&fleet::Trial::id(40), Input::Announce(old.clone()));
    trial.run(SECOND * 2);
    let known = old.incarnation + 1;
    let refusal = Refusal::Superseded { known, upstream: old.upstream.clone() };
    assert_eq!(refusals(&trial), vec![refusal]);
    for registry in trial.registries.values() {
        let upstream = registry.get(&old.upstream).expect("upstream");
        assert_eq!(upstream.announcement.address, address);
    }
}

#[test]
fn late_announcement_does_not_undo_a_drain() {
    let mut trial = settled(9);
    drain(&mut trial, 4, 17);
    trial.run(SECOND);
    trial.input(&fleet::Trial::id(40), Input::Announce(Trial::announcement(4)));
    trial.run(SECOND * 2);
    let upstream = Trial::announcement(4).upstream;
    assert_eq!(refusals(&trial), vec![Refusal::Draining { upstream: upstream.clone() }]);
    assert!(trial.users(&upstream).is_empty());
}

#[test]
fn duplicate_name_is_refused() {
    // Two processes are given one name. The second is told the first one's address;
    // the first stays in use.
    let mut trial = settled(10);
    let address = SocketAddr::from(([127, 9, 9, 9], 8080));
    let first = Trial::announcement(6);
    trial.input(&fleet::Trial::id(8), Input::Announce(Announcement { address, ..first.clone() }));
    let refusal = Refusal::Duplicate { address: first.address, upstream: first.upstream.clone() };
    assert_eq!(refusals(&trial), vec![refusal]);
    assert_eq!(trial.users(&first.upstream).len(), 44);
}

#[test]
fn changes_lost_by_the_flood_are_repaired() {
    // Half of all messages are lost while ten upstreams come and ten drain. Digests
    // find what the flood lost.
    let mut trial = settled(11);
    trial.net.conditions.loss = 0.5;
    (30..40).for_each(|index| trial.announce(index, Trial::announcement(index)));
    (0..10).for_each(|index| drain(&mut trial, index, 20));
    trial.run(SECOND * 30);
    trial.net.conditions.loss = 0.0;
    trial.run(SECOND * 10);
    let roots: BTreeSet<u32> = trial.registries.values().map(Registry::root).collect();
    assert_eq!(roots.len(), 1);
    assert!(trial.users(&Trial::announcement(4).upstream).is_empty());
    assert_eq!(trial.users(&Trial::announcement(35).upstream).len(), 44);
}

#[test]
fn share_grows_over_the_warm_up_at_every_entry() {
    // A cold upstream takes 60 s to warm up. An entry that joins halfway must not
    // take it for cold from the beginning, nor for warm.
    let mut trial = Trial::new(12, 44);
    let upstream = Trial::announcement(0).upstream;
    trial.announce(0, Trial::announcement(0));
    trial.run(SECOND * 30);
    for registry in trial.registries.values() {
        let share = registry.get(&upstream).expect("upstream").share(trial.now());
        assert!((0.5..0.6).contains(&share), "{share}");
    }
    trial.run(SECOND * 31);
    let registry = trial.registries.values().next().expect("registry");
    let share = registry.get(&upstream).expect("upstream").share(trial.now());
    assert!((share - 1.0).abs() < f64::EPSILON);
}

#[rstest]
#[case::connections(Announcement { connections: 0, ..Trial::announcement(50) }, "connections")]
#[case::lease(Announcement { lease: SECOND, ..Trial::announcement(50) }, "lease")]
#[case::slots(Announcement { slots: 0, ..Trial::announcement(50) }, "slots")]
#[case::state(Announcement { state: State::Gone, ..Trial::announcement(50) }, "state")]
fn announce_refuses_wrong(#[case] announcement: Announcement, #[case] field: &'static str) {
    let mut trial = Trial::new(13, 3);
    let upstream = announcement.upstream.clone();
    trial.input(&fleet::Trial::id(0), Input::Announce(announcement));
    assert_eq!(refusals(&trial), vec![Refusal::Wrong { field, upstream }]);
}

#[test]
fn announce_endless_lease() {
    // One upstream announces the longest lease and warm-up that can be written. Every
    // entry reckons when they end, and the control thread of each must live through it:
    // the other upstreams are used as before.
    let mut trial = settled(1);
    let endless = Announcement {
        lease: Duration::MAX,
        slots: u32::MAX,
        warm_up: Duration::MAX,
        ..Trial::announcement(30)
    };
    trial.announce(3, endless);
    trial.run(SECOND * 10);
    assert_eq!(trial.users(&Trial::announcement(4).upstream).len(), 44);
}
