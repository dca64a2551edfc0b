//! Registry of announced upstreams in virtual time.

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

/// Creates 44 entries and 30 upstreams that all entries use.
fn converged(seed: u64) -> Trial {
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
    // Renewals without changes must not be sent to entries other than the homes, or 6,200
    // upstreams would saturate the links.
    let mut trial = converged(1);
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
    let mut trial = converged(2);
    drain(&mut trial, 4, 17);
    trial.run(SECOND * 3);
    assert!(trial.users(&Trial::announcement(4).upstream).is_empty());
    assert!(trial.longest <= 1100);
}

#[rstest]
#[case::alone(1)]
#[case::four_together(4)]
#[case::twelve_together(12)]
fn drain_reaches_partitioned_entries(#[case] group: usize) {
    // Entries are partitioned from the fleet but not from the upstreams, and an upstream drains
    // at another entry. The partitioned entries get no change. They are no longer in touch, so
    // no home is trusted, and their own probes find the drain.
    let mut trial = converged(3);
    let partitioned: Vec<NodeId> = (20..20 + group).map(fleet::Trial::id).collect();
    trial.cut_off(&partitioned);
    drain(&mut trial, 4, 1);
    trial.run(SECOND * 3);
    assert!(trial.users(&Trial::announcement(4).upstream).is_empty());
    // The partitioned entries keep using the other upstreams, which answer the probes.
    trial.run(SECOND * 2);
    let users = trial.users(&Trial::announcement(5).upstream);
    assert!(partitioned.iter().all(|id| users.contains(id)));
}

#[test]
fn drain_does_not_wait_for_announcements() {
    // Two thousand upstreams are announced at once, more than the byte allowance lets through
    // quickly. A drain at that moment must not wait for them.
    let mut trial = converged(14);
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
fn drain_learned_from_an_answer() {
    // An upstream drains and its announcement is lost. The first answer that says so stops all
    // entries from using it.
    let mut trial = converged(4);
    let upstream = Trial::announcement(7).upstream;
    let incarnation = Some(Trial::announcement(7).incarnation);
    let input = Input::Answered { draining: true, incarnation, upstream: upstream.clone() };
    trial.input(&fleet::Trial::id(3), input);
    trial.run(SECOND * 3);
    assert!(trial.users(&upstream).is_empty());
}

#[test]
fn answer_without_incarnation_affects_one_entry() {
    let mut trial = converged(5);
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
fn home_dies_and_another_takes_over() {
    // The home of an upstream dies. The upstream renews at another entry, the new home takes
    // over the lease, and the upstream stays usable. When it dies too, its lease expires.
    let mut trial = converged(6);
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
fn lease_expires_and_the_upstream_returns() {
    let mut trial = converged(7);
    let upstream = Trial::announcement(3).upstream;
    trial.announced.remove(&upstream);
    trial.run(SECOND * 20);
    assert!(trial.users(&upstream).is_empty());
    trial.announce(30, Trial::announcement(3));
    trial.run(SECOND * 3);
    assert_eq!(trial.users(&upstream).len(), 44);
}

#[test]
fn partition_heals_and_upstreams_stay_in_use() {
    // A region is partitioned for five minutes and expires the leases of the other upstreams.
    // When the partition heals, these expiries dissemination to the other entries. The upstreams must
    // stay in use, because they answer, until they have renewed.
    let mut trial = converged(15);
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
fn late_announcement_after_a_drained_lease_expired() {
    let mut trial = converged(16);
    drain(&mut trial, 4, 17);
    let upstream = Trial::announcement(4).upstream;
    trial.announced.remove(&upstream);
    trial.run(SECOND * 20);
    trial.input(&fleet::Trial::id(40), Input::Announce(Trial::announcement(4)));
    assert_eq!(refusals(&trial), vec![Refusal::Draining { upstream }]);
}

#[test]
fn late_announcement_after_a_restart() {
    // An upstream restarts at another address. A late announcement of its old incarnation is
    // refused, and no entry uses the old address.
    let mut trial = converged(8);
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
    let mut trial = converged(9);
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
    // Two processes use the same name. The second is refused with the address of the first, and
    // the first stays in use.
    let mut trial = converged(10);
    let address = SocketAddr::from(([127, 9, 9, 9], 8080));
    let first = Trial::announcement(6);
    trial.input(&fleet::Trial::id(8), Input::Announce(Announcement { address, ..first.clone() }));
    let refusal = Refusal::Duplicate { address: first.address, upstream: first.upstream.clone() };
    assert_eq!(refusals(&trial), vec![refusal]);
    assert_eq!(trial.users(&first.upstream).len(), 44);
}

#[test]
fn changes_lost_by_gossip_are_repaired() {
    // Half of all messages are lost while ten upstreams join and ten drain. Anti-entropy repairs
    // what gossip lost.
    let mut trial = converged(11);
    trial.net.weather.loss = 0.5;
    (30..40).for_each(|index| trial.announce(index, Trial::announcement(index)));
    (0..10).for_each(|index| drain(&mut trial, index, 20));
    trial.run(SECOND * 30);
    trial.net.weather.loss = 0.0;
    trial.run(SECOND * 10);
    let roots: BTreeSet<u32> = trial.registries.values().map(Registry::root).collect();
    assert_eq!(roots.len(), 1);
    assert!(trial.users(&Trial::announcement(4).upstream).is_empty());
    assert_eq!(trial.users(&Trial::announcement(35).upstream).len(), 44);
}

#[test]
fn share_grows_over_the_warm_up_at_every_entry() {
    // An upstream takes 60 s to warm up. All entries must compute its share from its first
    // announcement.
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
fn announce_refuses_invalid(#[case] announcement: Announcement, #[case] field: &'static str) {
    let mut trial = Trial::new(13, 3);
    let upstream = announcement.upstream.clone();
    trial.input(&fleet::Trial::id(0), Input::Announce(announcement));
    assert_eq!(refusals(&trial), vec![Refusal::Invalid { field, upstream }]);
}

#[test]
fn announce_longest_lease() {
    // One upstream announces the longest possible lease and warm-up. Computing their ends must
    // not overflow at any entry, and the other upstreams stay in use.
    let mut trial = converged(1);
    let announcement = Announcement {
        lease: Duration::MAX,
        slots: u32::MAX,
        warm_up: Duration::MAX,
        ..Trial::announcement(30)
    };
    trial.announce(3, announcement);
    trial.run(SECOND * 10);
    assert_eq!(trial.users(&Trial::announcement(4).upstream).len(), 44);
}
