//! Replication and start of processes under faults.

use std::time::Duration;

use hemlockfield::config::Input;
use hemlockfield::config::Message;
use hemlockfield::config::Standing;
use hemlockfield::fake::Conditions;
use rstest::rstest;

use super::simulation::Simulation;
use super::simulation::ms;
use super::simulation::version;

fn lossy() -> Conditions {
    Conditions { loss: 0.05, duplication: 0.05, delay_min: ms(1), delay_max: ms(40) }
}

#[rstest]
#[case::fair(Conditions::reliable())]
#[case::lossy(lossy())]
fn replicate_versions(#[case] conditions: Conditions) {
    let mut simulation = Simulation::new(1, 12, conditions);
    for number in 2..40 {
        simulation.commit(number);
        simulation.run(ms(500));
    }
    simulation.run(ms(20_000));
    assert!(simulation.all_hold(39));
}

/// Control is unreachable for eight hours, then commits a change. The entries must serve
/// callers throughout, since nothing can have been accepted meanwhile. An entry that
/// restarts without a disk must fetch the version from its peers and then serve.
#[test]
fn handle_control_unreachable() {
    let mut simulation = Simulation::new(2, 8, lossy());
    simulation.isolate(0);
    simulation.run(ms(600_000));
    simulation.start(3, None);
    assert_eq!(simulation.standing(3), Standing::Starting);
    simulation.run(ms(8_000));
    assert_eq!((simulation.number(3), simulation.standing(3)), (Some(1), Standing::Serving));
    simulation.now += Duration::from_secs(8 * 3600);
    simulation.run(ms(30_000));
    assert!((1..8).all(|index| simulation.standing(index) == Standing::Serving));
    simulation.net.heal_all();
    simulation.commit(2);
    simulation.run(ms(40_000));
    assert!(simulation.all_hold(2));
}

/// An entry that held version 2 restarts without its disk next to a peer that was isolated
/// and still holds version 1. It must not serve version 1: the answers of the others name
/// version 2, which it has to fetch first.
#[test]
fn restart_beside_stale_peer() {
    let mut simulation = Simulation::new(3, 8, Conditions::reliable());
    simulation.isolate(1);
    simulation.commit(2);
    simulation.run(ms(5_000));
    assert_eq!((simulation.number(1), simulation.number(4)), (Some(1), Some(2)));
    simulation.start(4, None);
    simulation.net.heal(&Simulation::id(1), &Simulation::id(4));
    simulation.net.heal(&Simulation::id(4), &Simulation::id(1));
    simulation.run(ms(10_000));
    assert_eq!((simulation.number(4), simulation.standing(4)), (Some(2), Standing::Serving));
}

/// An entry that held version 2 restarts and asks a control replica that was isolated at
/// version 1. The replica does not prove that it leads, so its answer must count as one
/// peer's only, and the entry must start with its peers' version 2.
#[test]
fn restart_beside_stale_control() {
    let mut simulation = Simulation::new(4, 8, Conditions::reliable());
    simulation.input(0, Input::Leads(false));
    simulation.isolate(0);
    let message = Message::Whole(version(2));
    simulation.input(1, Input::Receive { from: Simulation::id(0), message });
    simulation.run(ms(10_000));
    assert_eq!(simulation.number(5), Some(2));
    simulation.net.heal(&Simulation::id(0), &Simulation::id(5));
    simulation.net.heal(&Simulation::id(5), &Simulation::id(0));
    simulation.start(5, None);
    simulation.run(ms(1_000));
    assert_eq!(simulation.standing(5), Standing::Starting);
    simulation.run(ms(10_000));
    assert_eq!((simulation.number(5), simulation.standing(5)), (Some(2), Standing::Serving));
}

/// An entry restarts while it is isolated. It must serve no callers until it is reachable
/// again, even with a disk, because the previous process may have served a newer version
/// than the one on the disk.
#[rstest]
#[case::with_disk(true)]
#[case::without_disk(false)]
fn restart_isolated(#[case] disk: bool) {
    let mut simulation = Simulation::new(5, 4, Conditions::reliable());
    simulation.isolate(3);
    simulation.start(3, disk.then(|| version(1)));
    simulation.run(ms(600_000));
    assert_eq!(simulation.standing(3), Standing::Starting);
    simulation.net.heal_all();
    simulation.run(ms(5_000));
    assert_eq!((simulation.number(3), simulation.standing(3)), (Some(1), Standing::Serving));
}

/// An entry is isolated while it serves. It must keep serving its version, report within
/// 90 s that it serves alone, and catch up without a restart once it is connected again.
#[test]
fn handle_isolation() {
    let mut simulation = Simulation::new(6, 8, Conditions::reliable());
    simulation.isolate(7);
    simulation.commit(2);
    simulation.run(ms(90_000));
    assert_eq!((simulation.number(7), simulation.standing(7)), (Some(1), Standing::ServingAlone));
    simulation.net.heal_all();
    simulation.run(ms(30_000));
    assert_eq!((simulation.number(7), simulation.standing(7)), (Some(2), Standing::Serving));
}

/// All entries restart at once while control is unreachable, and only one has a disk. The
/// others must take its version, but only after 30 s, in which any process that still
/// served would have answered.
#[test]
fn restart_all_without_control() {
    let mut simulation = Simulation::new(7, 6, Conditions::reliable());
    simulation.isolate(0);
    for index in 1..6 {
        simulation.start(index, (index == 2).then(|| version(1)));
    }
    simulation.run(ms(29_000));
    assert!((1..6).all(|index| simulation.standing(index) == Standing::Starting));
    simulation.run(ms(10_000));
    assert!((1..6).all(|index| (simulation.number(index), simulation.standing(index))
        == (Some(1), Standing::Serving)));
}

/// The leader's answer to a question of the previous process arrives after a restart. It
/// must be ignored, because that process may have served a newer version since it asked.
#[test]
fn handle_answer_to_previous_process() {
    let mut simulation = Simulation::new(8, 4, Conditions::reliable());
    simulation.isolate(3);
    simulation.start(3, Some(version(1)));
    let (head, standing) = (Some(version(1).head()), Standing::Serving);
    let message = Message::Answer { ask: 7, head, leads: true, standing };
    simulation.input(3, Input::Receive { from: Simulation::id(0), message });
    assert_eq!(simulation.standing(3), Standing::Starting);
}

#[test]
fn handle_damaged_patch() {
    let mut simulation = Simulation::new(9, 4, Conditions::reliable());
    let mut patch = hemlockfield::config::Patch::between(&version(1), &version(2));
    patch.steps.clear();
    let message = Message::Patches(vec![patch]);
    simulation.input(2, Input::Receive { from: Simulation::id(1), message });
    assert_eq!(simulation.number(2), Some(1));
    simulation.commit(2);
    simulation.run(ms(10_000));
    assert!(simulation.all_hold(2));
}

#[test]
fn handle_conflicting_document() {
    let mut simulation = Simulation::new(10, 2, Conditions::reliable());
    let other = hemlockfield::config::Version::new(1, "x".into(), "other");
    simulation.input(1, Input::Receive { from: Simulation::id(0), message: Message::Whole(other) });
    assert_eq!(
        simulation.replicators[&Simulation::id(1)].current().unwrap().document,
        version(1).document
    );
    assert_eq!(simulation.replicators[&Simulation::id(1)].hash_conflicts(), 1);
}

/// Restarts, partitions and changes with twenty seeds. No process may return to an older
/// version, which the simulation checks at every step, and all must agree once the faults
/// are over.
#[test]
fn handle_any_faults() {
    for seed in 100..120 {
        let mut simulation = Simulation::new(seed, 9, lossy());
        for number in 2..30 {
            let one = 1 + (seed * 7 + number * 5) as usize % 8;
            let two = 1 + (seed * 3 + number * 11) as usize % 8;
            match number % 4 {
                0 => simulation.start(one, None),
                1 => simulation.isolate(one),
                2 => simulation.net.cut(&Simulation::id(one), &Simulation::id(two)),
                _ => simulation.net.heal_all(),
            }
            simulation.commit(number);
            simulation.run(ms(2_000 + number * 100));
        }
        simulation.net.heal_all();
        simulation.run(ms(60_000));
        assert!(simulation.all_hold(29), "seed {seed}");
    }
}
