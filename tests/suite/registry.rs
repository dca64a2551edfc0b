//! Registry of announced upstreams in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hemlockfield::fleet;
use hemlockfield::id::NodeId;
use hemlockfield::registry::Announcement;
use hemlockfield::registry::Change;
use hemlockfield::registry::Input;
use hemlockfield::registry::Message;
use hemlockfield::registry::Output;
use hemlockfield::registry::Refusal;
use hemlockfield::registry::Registry;
use hemlockfield::registry::Simulation;
use hemlockfield::registry::State;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::announcements::orders::orders;

const SECOND: Duration = Duration::from_secs(1);

/// Creates 44 entries and 30 upstreams that all entries use.
fn converged(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, 44);
    (0..30).for_each(|index| simulation.announce(index, Simulation::announcement(index)));
    simulation.run(SECOND * 10);
    for index in 0..30 {
        assert_eq!(simulation.users(&Simulation::announcement(index).upstream).len(), 44);
    }
    simulation
}

fn drain(simulation: &mut Simulation, index: usize, entry: usize) {
    let announcement = Announcement { state: State::Draining, ..Simulation::announcement(index) };
    simulation.announce(entry, announcement);
}

fn refusals(simulation: &Simulation) -> Vec<Refusal> {
    let refusal = |output: &Output| match output {
        Output::Refused { refusal, .. } => Some(refusal.clone()),
        _ => None,
    };
    simulation.events.iter().filter_map(|(_, _, output)| refusal(output)).collect()
}

fn home(simulation: &Simulation, index: usize) -> NodeId {
    let upstream = Simulation::announcement(index).upstream;
    let registry = simulation.registries.values().next().expect("registry");
    registry.get(&upstream).and_then(|known| known.home.clone()).expect("home")
}

#[test]
fn announce_renewals_do_not_spread() {
    // Renewals without changes must not be sent to entries other than the homes, or 6,200
    // upstreams would saturate the links.
    let mut simulation = converged(1);
    simulation.events.clear();
    simulation.sent.clear();
    simulation.run(SECOND * 300);
    let changed = |output: &Output| matches!(output, Output::Changed { .. });
    assert!(!simulation.events.iter().any(|(_, _, output)| changed(output)));
    let each = simulation.sent.values().sum::<u64>() / 44 / 300;
    assert!(each < 100, "{each} bytes a second a node");
}

#[test]
fn drain_reaches_every_entry_within_3_s() {
    let mut simulation = converged(2);
    drain(&mut simulation, 4, 17);
    simulation.run(SECOND * 3);
    assert!(simulation.users(&Simulation::announcement(4).upstream).is_empty());
    assert!(simulation.longest <= 1100);
}

#[rstest]
#[case::alone(1)]
#[case::four_together(4)]
#[case::twelve_together(12)]
fn drain_reaches_partitioned_entries(#[case] group: usize) {
    // Entries are partitioned from the fleet but not from the upstreams, and an upstream drains
    // at another entry. The partitioned entries get no change. They are no longer in touch, so
    // no home is trusted, and their own probes find the drain.
    let mut simulation = converged(3);
    let partitioned: Vec<NodeId> = (20..20 + group).map(fleet::Simulation::id).collect();
    simulation.cut_off(&partitioned);
    drain(&mut simulation, 4, 1);
    simulation.run(SECOND * 3);
    assert!(simulation.users(&Simulation::announcement(4).upstream).is_empty());
    // The partitioned entries keep using the other upstreams, which answer the probes.
    simulation.run(SECOND * 2);
    let users = simulation.users(&Simulation::announcement(5).upstream);
    assert!(partitioned.iter().all(|id| users.contains(id)));
}

#[test]
fn drain_does_not_wait_for_announcements() {
    // Two thousand upstreams are announced at once, more than the byte allowance lets through
    // quickly. A drain at that moment must not wait for them.
    let mut simulation = converged(14);
    simulation.announce(1, Simulation::announcement(9999));
    simulation.run(SECOND * 5);
    (100..2100).for_each(|index| simulation.announce(index % 44, Simulation::announcement(index)));
    simulation.run(SECOND);
    drain(&mut simulation, 9999, 17);
    simulation.run(SECOND * 3);
    assert!(simulation.users(&Simulation::announcement(9999).upstream).is_empty());
    let last = Simulation::announcement(2099).upstream;
    assert!(simulation.users(&last).len() < 44);
    simulation.run(SECOND * 120);
    assert_eq!(simulation.users(&last).len(), 44);
}

#[test]
fn drain_learned_from_an_answer() {
    // An upstream drains and its announcement is lost. The first answer that says so stops all
    // entries from using it.
    let mut simulation = converged(4);
    let upstream = Simulation::announcement(7).upstream;
    let incarnation = Some(Simulation::announcement(7).incarnation);
    let input = Input::Answered { draining: true, incarnation, upstream: upstream.clone() };
    simulation.input(&fleet::Simulation::id(3), input);
    simulation.run(SECOND * 3);
    assert!(simulation.users(&upstream).is_empty());
}

#[test]
fn answer_without_incarnation_affects_one_entry() {
    let mut simulation = converged(5);
    let upstream = Simulation::announcement(7).upstream;
    let input =
        |draining| Input::Answered { draining, incarnation: None, upstream: upstream.clone() };
    simulation.input(&fleet::Simulation::id(3), input(true));
    simulation.run(SECOND);
    assert_eq!(simulation.users(&upstream).len(), 43);
    simulation.input(&fleet::Simulation::id(3), input(false));
    assert_eq!(simulation.users(&upstream).len(), 44);
}

#[test]
fn home_dies_and_another_takes_over() {
    // The home of an upstream dies. The upstream renews at another entry, the new home takes
    // over the lease, and the upstream stays usable. When it dies too, its lease expires.
    let mut simulation = converged(6);
    let upstream = Simulation::announcement(9).upstream;
    let old = home(&simulation, 9);
    simulation.kill(&old);
    for _ in 0..60 {
        simulation.run(SECOND);
        assert!(simulation.users(&upstream).len() >= 40);
    }
    assert_ne!(home(&simulation, 9), old);
    simulation.announced.remove(&upstream);
    simulation.run(SECOND * 20);
    assert!(simulation.users(&upstream).is_empty());
}

#[test]
fn lease_expires_and_the_upstream_returns() {
    let mut simulation = converged(7);
    let upstream = Simulation::announcement(3).upstream;
    simulation.announced.remove(&upstream);
    simulation.run(SECOND * 20);
    assert!(simulation.users(&upstream).is_empty());
    simulation.announce(30, Simulation::announcement(3));
    simulation.run(SECOND * 3);
    assert_eq!(simulation.users(&upstream).len(), 44);
}

#[test]
fn partition_heals_and_upstreams_stay_in_use() {
    // A region is partitioned for five minutes and expires the leases of the other upstreams.
    // When the partition heals, these expiries spread to the other entries. The upstreams must
    // stay in use, because they answer, until they have renewed.
    let mut simulation = converged(15);
    let region = simulation.fleet.region("r1");
    simulation.cut_off(&region);
    simulation.apart = region.iter().cloned().collect();
    simulation.run(SECOND * 300);
    simulation.apart.clear();
    simulation.heal();
    let expired = |simulation: &Simulation| {
        let gone = |output: &Output| matches!(output, Output::Changed { state: State::Gone, .. });
        simulation.events.iter().filter(|(_, _, output)| gone(output)).count()
    };
    assert!(expired(&simulation) > 0);
    for _ in 0..300 {
        simulation.run(SECOND / 10);
        for index in 0..30 {
            let users = simulation.users(&Simulation::announcement(index).upstream);
            let others = users.iter().filter(|id| !region.contains(id)).count();
            assert!(others >= 30, "{index}: {others} at {:?}", simulation.now());
        }
    }
    let upstream = |index| Simulation::announcement(index).upstream;
    assert!((0..30).all(|index| simulation.users(&upstream(index)).len() == 44));
}

#[test]
fn late_announcement_after_a_drained_lease_expired() {
    let mut simulation = converged(16);
    drain(&mut simulation, 4, 17);
    let upstream = Simulation::announcement(4).upstream;
    simulation.announced.remove(&upstream);
    simulation.run(SECOND * 20);
    simulation.input(&fleet::Simulation::id(40), Input::Announce(Simulation::announcement(4)));
    assert_eq!(refusals(&simulation), vec![Refusal::Draining { upstream }]);
}

#[test]
fn late_announcement_after_a_restart() {
    // An upstream restarts at another address. A late announcement of its old incarnation is
    // refused, and no entry uses the old address.
    let mut simulation = converged(8);
    let old = Simulation::announcement(2);
    let address = SocketAddr::from(([127, 9, 9, 9], 8080));
    let fresh = Announcement { address, incarnation: old.incarnation + 1, ..old.clone() };
    simulation.announce(5, fresh);
    simulation.run(SECOND * 2);
    simulation.input(&fleet::Simulation::id(40), Input::Announce(old.clone()));
    simulation.run(SECOND * 2);
    let known = old.incarnation + 1;
    let refusal = Refusal::Superseded { known, upstream: old.upstream.clone() };
    assert_eq!(refusals(&simulation), vec![refusal]);
    for registry in simulation.registries.values() {
        let upstream = registry.get(&old.upstream).expect("upstream");
        assert_eq!(upstream.announcement.address, address);
    }
}

#[test]
fn late_announcement_does_not_undo_a_drain() {
    let mut simulation = converged(9);
    drain(&mut simulation, 4, 17);
    simulation.run(SECOND);
    simulation.input(&fleet::Simulation::id(40), Input::Announce(Simulation::announcement(4)));
    simulation.run(SECOND * 2);
    let upstream = Simulation::announcement(4).upstream;
    assert_eq!(refusals(&simulation), vec![Refusal::Draining { upstream: upstream.clone() }]);
    assert!(simulation.users(&upstream).is_empty());
}

#[test]
fn duplicate_name_is_refused() {
    // Two processes use the same name. The second is refused with the address of the first, and
    // the first stays in use.
    let mut simulation = converged(10);
    let address = SocketAddr::from(([127, 9, 9, 9], 8080));
    let first = Simulation::announcement(6);
    simulation.input(
        &fleet::Simulation::id(8),
        Input::Announce(Announcement { address, ..first.clone() }),
    );
    let refusal = Refusal::Duplicate { address: first.address, upstream: first.upstream.clone() };
    assert_eq!(refusals(&simulation), vec![refusal]);
    assert_eq!(simulation.users(&first.upstream).len(), 44);
}

#[test]
fn changes_lost_by_gossip_are_repaired() {
    // Half of all messages are lost while ten upstreams join and ten drain. Anti-entropy repairs
    // what gossip lost.
    let mut simulation = converged(11);
    simulation.net.conditions.loss = 0.5;
    (30..40).for_each(|index| simulation.announce(index, Simulation::announcement(index)));
    (0..10).for_each(|index| drain(&mut simulation, index, 20));
    simulation.run(SECOND * 30);
    simulation.net.conditions.loss = 0.0;
    simulation.run(SECOND * 10);
    let roots: BTreeSet<u32> = simulation.registries.values().map(Registry::root).collect();
    assert_eq!(roots.len(), 1);
    assert!(simulation.users(&Simulation::announcement(4).upstream).is_empty());
    assert_eq!(simulation.users(&Simulation::announcement(35).upstream).len(), 44);
}

#[test]
fn share_grows_over_the_warm_up_at_every_entry() {
    // An upstream takes 60 s to warm up. All entries must compute its share from its first
    // announcement.
    let mut simulation = Simulation::new(12, 44);
    let upstream = Simulation::announcement(0).upstream;
    simulation.announce(0, Simulation::announcement(0));
    simulation.run(SECOND * 30);
    for registry in simulation.registries.values() {
        let share = registry.get(&upstream).expect("upstream").share(simulation.now());
        assert!((0.5..0.6).contains(&share), "{share}");
    }
    simulation.run(SECOND * 31);
    let registry = simulation.registries.values().next().expect("registry");
    let share = registry.get(&upstream).expect("upstream").share(simulation.now());
    assert!((share - 1.0).abs() < f64::EPSILON);
}

#[rstest]
#[case::connections(Announcement { connections: 0, ..Simulation::announcement(50) }, "connections")]
#[case::lease(Announcement { lease: SECOND, ..Simulation::announcement(50) }, "lease")]
#[case::slots(Announcement { slots: 0, ..Simulation::announcement(50) }, "slots")]
#[case::state(Announcement { state: State::Gone, ..Simulation::announcement(50) }, "state")]
fn announce_refuses_invalid(#[case] announcement: Announcement, #[case] field: &'static str) {
    let mut simulation = Simulation::new(13, 3);
    let upstream = announcement.upstream.clone();
    simulation.input(&fleet::Simulation::id(0), Input::Announce(announcement));
    assert_eq!(refusals(&simulation), vec![Refusal::Invalid { field, upstream }]);
}

#[test]
fn announce_longest_lease() {
    // One upstream announces the longest possible lease and warm-up. Computing their ends must
    // not overflow at any entry, and the other upstreams stay in use.
    let mut simulation = converged(1);
    let announcement = Announcement {
        lease: Duration::MAX,
        slots: u32::MAX,
        warm_up: Duration::MAX,
        ..Simulation::announcement(30)
    };
    simulation.announce(3, announcement);
    simulation.run(SECOND * 10);
    assert_eq!(simulation.users(&Simulation::announcement(4).upstream).len(), 44);
}

/// A change of the first upstream.
fn change(incarnation: u64, revision: u32, state: State) -> Change {
    let announcement = Announcement { incarnation, state, ..Simulation::announcement(0) };
    Change { age: Duration::ZERO, announcement, revision }
}

// Which of two starts of an upstream entries knew depended on the order in which they heard the same changes.
#[rstest]
#[case::gone(&[(1, 0, State::Ready), (1, 0, State::Draining), (1, 0, State::Gone), (1, 1, State::Ready), (1, 1, State::Gone)])]
#[case::restarted(&[(1, 0, State::Ready), (1, 1, State::Draining), (1, 1, State::Gone), (2, 0, State::Ready), (2, 0, State::Ready), (2, 0, State::Draining)])]
fn receive_all_orders(#[case] changes: &[(u64, u32, State)]) {
    let upstream = Simulation::announcement(0).upstream;
    let newest = changes.iter().copied().max().unwrap();
    for order in orders(changes.len()) {
        let random = ChaCha8Rng::seed_from_u64(1);
        let mut registry = Registry::new(Duration::ZERO, "e1".into(), random);
        for number in &order {
            let (incarnation, revision, state) = changes[*number];
            let message = Message::Changes(vec![change(incarnation, revision, state)]);
            registry.handle(Duration::ZERO, Input::Receive { from: "e2".into(), message });
        }
        let known = registry.get(&upstream).map(|known| &known.announcement);
        let known = known.map(|known| (known.incarnation, known.state));
        assert_eq!(known, Some((newest.0, newest.2)), "{order:?}");
    }
}
