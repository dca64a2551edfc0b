use hemlockfield::health::Input;
use hemlockfield::health::Kind;
use hemlockfield::health::Status;

use super::simulation::Outcome;
use super::simulation::Simulation;
use super::simulation::config;
use super::simulation::seconds;
use super::simulation::upstream_name;

/// The upstream's health endpoint says healthy while callers get errors from it. The
/// report must not delay the ejection.
#[test]
fn handle_false_healthy_report() {
    let ejection = |has_report: bool| {
        let mut simulation = Simulation::new(4, 8, &config(0.5), 9);
        simulation.run(seconds(30), 3.0, &|_, _, _| Outcome::SOUND);
        while simulation.ejections(3).is_empty() && simulation.now < seconds(60) {
            for monitor in simulation.monitors.iter_mut().filter(|_| has_report) {
                monitor.handle(
                    simulation.now,
                    Input::Report { healthy: true, upstream: upstream_name(3) },
                );
            }
            let next = simulation.now + seconds(1) / 10;
            simulation.run(next, 3.0, &|_, upstream, _| {
                if upstream == 3 { Outcome::failing(Kind::ServerError) } else { Outcome::SOUND }
            });
        }
        simulation.ejections(3).first().copied()
    };
    assert!(ejection(false).is_some());
    assert_eq!(ejection(true), ejection(false));
}

/// A sound upstream's health endpoint says unhealthy for a minute, because it lags or
/// is wrong. Callers get their answers, so it must stay, even at sensitivity 1.0.
#[test]
fn handle_false_unhealthy_report() {
    let mut simulation = Simulation::new(4, 8, &config(1.0), 9);
    for second in 1..=60 {
        for monitor in &mut simulation.monitors {
            monitor.handle(
                simulation.now,
                Input::Report { healthy: false, upstream: upstream_name(3) },
            );
        }
        simulation.run(seconds(second), 3.0, &|_, _, _| Outcome::SOUND);
    }
    assert_eq!(simulation.ejections(3), []);
    assert_eq!(simulation.monitors[0].status(&upstream_name(3)), Status::Sound);
}
