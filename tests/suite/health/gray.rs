use std::time::Duration;

use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Status;
use rstest::rstest;

use super::simulation::Outcome;
use super::simulation::Simulation;
use super::simulation::USUAL_LATENCY;
use super::simulation::config;
use super::simulation::seconds;
use super::simulation::upstream_name;

/// One upstream of eight turns gray after half a minute, at three requests a second
/// from each of eight entries. Callers see errors or delays until it is ejected. One
/// entry alone would need several times as long, so the entries must pool their
/// evidence. No other upstream may be ejected.
#[rstest]
#[case::errors(Outcome::failing(Kind::ServerError))]
#[case::cut(Outcome::failing(Kind::Cut))]
#[case::silent(Outcome { kind: Kind::Silent, latency: Duration::from_secs(1) })]
#[case::no_connection(Outcome::failing(Kind::ConnectFailed))]
#[case::late_end(Outcome::failing(Kind::Timeout))]
#[case::slow(Outcome::slow(6))]
fn handle_gray_upstream(#[case] gray: Outcome, #[values(0.0, 1.0)] sensitivity: f64) {
    let mut simulation = Simulation::new(8, 8, &config(sensitivity), 7);
    simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
    let limit = if sensitivity > 0.0 { seconds(2) } else { seconds(5) };
    simulation.run(seconds(30) + limit, 3.0, &|_, upstream, _| {
        if upstream == 3 { gray } else { Outcome::SOUND }
    });
    for monitor in &simulation.monitors {
        assert_eq!(monitor.status(&upstream_name(3)), Status::Ejected);
    }
    for sound in (0..8).filter(|upstream| *upstream != 3) {
        assert_eq!(simulation.ejections(sound), []);
    }
}

/// Three answers in ten are errors, so that hardly any entry sees two in a row.
/// Callers see a third of their requests to the upstream fail while it is in service.
#[test]
fn handle_partial_errors() {
    let mut simulation = Simulation::new(16, 8, &config(1.0), 11);
    simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(34), 3.0, &|entry, upstream, now| {
        let turn = (now.as_millis() / 100) as usize + entry * 7;
        if upstream == 3 && turn % 10 < 3 {
            Outcome::failing(Kind::ServerError)
        } else {
            Outcome::SOUND
        }
    });
    let monitors = simulation.monitors.iter();
    assert!(monitors.clone().all(|monitor| monitor.status(&upstream_name(3)) == Status::Ejected));
    assert!(monitors.clone().all(|monitor| monitor.status(&upstream_name(4)) == Status::Sound));
}

/// Answers of one upstream no longer reach a quarter of the entries, because a network
/// path broke. Those entries must eject it; the others get answers and must keep it,
/// whatever evidence they receive.
#[test]
fn handle_broken_path() {
    let mut simulation = Simulation::new(16, 8, &config(1.0), 5);
    simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(40), 3.0, &|entry, upstream, _| {
        let is_lost = upstream == 3 && entry < 4;
        if is_lost { Outcome { kind: Kind::Silent, latency: seconds(1) } } else { Outcome::SOUND }
    });
    for (entry, monitor) in simulation.monitors.iter().enumerate() {
        let is_ejected = monitor.status(&upstream_name(3)) != Status::Sound;
        assert_eq!(is_ejected, entry < 4, "entry {entry}");
    }
}

/// Requests to a silent upstream wait for seconds before they fail. Their ages are
/// evidence: the upstream must be ejected before the first request times out.
#[test]
fn handle_waiting() {
    let mut simulation = Simulation::new(1, 8, &config(1.0), 3);
    simulation.run(seconds(30), 10.0, &|_, _, _| Outcome::SOUND);
    let monitor = &mut simulation.monitors[0];
    let mut now = simulation.now;
    for tick in 1..=10_u32 {
        now += USUAL_LATENCY * 4;
        let ages = (1..=tick).map(|age| USUAL_LATENCY * 4 * age).collect();
        monitor.handle(now, Input::Pending { ages, upstream: upstream_name(3) });
        monitor.handle(now, Input::Tick);
    }
    assert_eq!(monitor.status(&upstream_name(3)), Status::Ejected);
}
