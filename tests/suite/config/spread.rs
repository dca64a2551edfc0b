//! Replication to many processes.

use std::time::Duration;

use hemlockfield::fake::Conditions;

use super::simulation::Simulation;
use super::simulation::ms;

/// Changes are committed while one message in five is lost. All 44 processes must hold each
/// one within 13 s: pushes reach most of them, digests repair the rest.
#[test]
fn replicate_heavy_loss() {
    let conditions =
        Conditions { loss: 0.2, duplication: 0.0, delay_min: ms(1), delay_max: ms(30) };
    let mut simulation = Simulation::new(1, 44, conditions);
    simulation.run(Duration::from_secs(30));
    for number in 2..12 {
        simulation.commit(number);
        simulation.run(Duration::from_secs(13));
        assert!(simulation.all_hold(number), "{number}");
    }
}
