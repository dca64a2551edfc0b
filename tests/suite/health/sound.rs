use hemlockfield::health::Digest;
use hemlockfield::health::Input;
use hemlockfield::health::Item;
use hemlockfield::health::Kind;
use hemlockfield::health::Status;
use rstest::rstest;

use super::simulation::Outcome;
use super::simulation::Simulation;
use super::simulation::config;
use super::simulation::seconds;
use super::simulation::upstream_name;

/// Two upstreams have always been three times slower than their peers, and are sound.
/// If they were ejected, their capacity would be lost. They are compared with their
/// own baseline, so they stay at both ends of the sensitivity, for all seeds.
#[rstest]
fn handle_slow_but_sound(#[values(0.0, 1.0)] sensitivity: f64) {
    for seed in 0..20 {
        let mut simulation = Simulation::new(8, 8, &config(sensitivity), seed);
        simulation.run(seconds(60), 3.0, &|_, upstream, _| {
            if upstream < 2 { Outcome::slow(3) } else { Outcome::SOUND }
        });
        assert_eq!(simulation.ejections(0), []);
        assert_eq!(simulation.ejections(1), []);
    }
}

/// All upstreams fail or slow down at once, as when a network or a shared store does.
/// Ejecting some would only overload the rest.
#[rstest]
#[case::errors(Outcome::failing(Kind::ServerError))]
#[case::slow(Outcome::slow(8))]
fn handle_shared_cause(#[case] gray: Outcome) {
    let mut simulation = Simulation::new(8, 8, &config(1.0), 2);
    simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(50), 3.0, &|_, _, _| gray);
    let all: Vec<_> = (0..8).flat_map(|upstream| simulation.ejections(upstream)).collect();
    assert_eq!(all, []);
}

/// A refusal means that an upstream is full, not unhealthy. If refusals counted as
/// failures, a burst would eject the upstreams with the most load.
#[test]
fn handle_refusals() {
    let mut simulation = Simulation::new(4, 8, &config(1.0), 2);
    simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(40), 3.0, &|_, upstream, _| {
        if upstream == 3 { Outcome::failing(Kind::Refused) } else { Outcome::SOUND }
    });
    assert_eq!(simulation.ejections(3), []);
}

/// One entry with a fault of its own sends evidence against an upstream that answers
/// the others. Its evidence alone must not make another entry eject the upstream,
/// however strong it is.
#[test]
fn handle_one_faulty_entry() {
    let mut simulation = Simulation::new(2, 8, &config(1.0), 2);
    simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
    let item = Item { asks: true, sums: [[i16::MAX; 5]; 3], upstream: upstream_name(3) };
    for _ in 0..100 {
        let digest = Digest { from: "e9".into(), items: vec![item.clone()] };
        simulation.monitors[0].handle(simulation.now, Input::Digest(digest));
        simulation.run(simulation.now + seconds(1), 3.0, &|_, _, _| Outcome::SOUND);
    }
    assert_eq!(simulation.ejections(3), []);
    assert_eq!(simulation.monitors[0].status(&upstream_name(3)), Status::Sound);
}
