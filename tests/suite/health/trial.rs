use std::time::Duration;

use hemlockfield::clock::Moment;
use hemlockfield::health::Kind;
use hemlockfield::health::Output;
use hemlockfield::health::Status;

use super::simulation::Outcome;
use super::simulation::Simulation;
use super::simulation::config;
use super::simulation::seconds;
use super::simulation::upstream_name;

/// An upstream fails for ten seconds and recovers. It must be readmitted without
/// intervention, after a trial with a small share of real requests.
#[test]
fn handle_recovery() {
    let mut simulation = Simulation::new(4, 8, &config(0.5), 1);
    simulation.run(seconds(30), 5.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(40), 5.0, &|_, upstream, _| {
        if upstream == 3 { Outcome::failing(Kind::ServerError) } else { Outcome::SOUND }
    });
    simulation.run(seconds(90), 5.0, &|_, _, _| Outcome::SOUND);
    let is_trial = |output: &Output| matches!(output, Output::Trial { .. });
    assert!(simulation.outputs.iter().any(|(.., output)| is_trial(output)));
    let monitors = simulation.monitors.iter();
    assert!(monitors.into_iter().all(|monitor| monitor.status(&upstream_name(3)) == Status::Sound));
}

/// The upstream still fails on trial. It must be ejected again after a few requests:
/// a full detection each time would cost callers more failures.
#[test]
fn handle_failed_trial() {
    let mut simulation = Simulation::new(1, 8, &config(0.0), 1);
    simulation.run(seconds(30), 5.0, &|_, _, _| Outcome::SOUND);
    let failing =
        |_, upstream, _| if upstream == 3 { Outcome::failing(Kind::Cut) } else { Outcome::SOUND };
    simulation.run(seconds(120), 5.0, &failing);
    let is_readmission = |output: &Output| matches!(output, Output::Readmit { .. });
    assert!(!simulation.outputs.iter().any(|(.., output)| is_readmission(output)));
    assert!(simulation.ejections(3).len() > 1);
}

/// An upstream fails for four seconds and is sound for four, for ten minutes. Each
/// return costs callers the same errors again, so the backoff must grow.
#[test]
fn handle_flapping() {
    let mut simulation = Simulation::new(1, 8, &config(1.0), 4);
    simulation.run(seconds(30), 5.0, &|_, _, _| Outcome::SOUND);
    simulation.run(seconds(630), 5.0, &|_, upstream, now: Moment| {
        let is_bad = upstream == 3 && (now.as_secs() / 4).is_multiple_of(2);
        if is_bad { Outcome::failing(Kind::ServerError) } else { Outcome::SOUND }
    });
    let times: Vec<Moment> = simulation.ejections(3).into_iter().map(|(at, _)| at).collect();
    let gaps: Vec<Duration> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let (early, late) = gaps.split_at(gaps.len() / 2);
    assert!(late.iter().sum::<Duration>() > early.iter().sum::<Duration>() * 3, "{gaps:?}");
    assert!(times.len() <= 8, "{times:?}");
}
