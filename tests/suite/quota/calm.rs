//! Tests of steady load: nothing is refused below the limit, and none of it is wasted above.

use std::time::Duration;

use rand::Rng;
use rstest::rstest;

use super::simulation::Mutant;
use super::simulation::STEP;
use super::simulation::Simulation;

const ENTRIES: usize = 42;

/// Callers send `rate` requests a second for half a minute, each to an entry that it uses for some
/// seconds. Returns the share of requests that were refused.
fn refused_share(callers: usize, rate: f64, most: u32, seed: u64) -> f64 {
    let mut simulation = Simulation::new(ENTRIES, most, Mutant::None, seed);
    let mut entries: Vec<usize> = Vec::new();
    for _ in 0..callers {
        entries.push(simulation.random().random_range(0..ENTRIES));
    }
    let mut sent = 0;
    for _ in 0..30_000 / STEP.as_millis() {
        if simulation.random().random_bool(rate * STEP.as_secs_f64()) {
            sent += 1;
            let caller = simulation.random().random_range(0..callers);
            simulation.request(entries[caller]);
            if simulation.random().random_bool(0.1) {
                entries[caller] = simulation.random().random_range(0..ENTRIES);
            }
        }
        simulation.step();
    }
    for _ in 0..100 {
        simulation.step();
    }
    simulation.refused as f64 / f64::from(sent)
}

// Teams send six tenths of their limit, and each entry sees a fraction of a request a second of a
// small team. An even split would give each entry less than two requests in five seconds and refuse
// a third of them. At most 0.2 % may be refused.
#[rstest]
#[case::small(4, 5.0, 73)]
#[case::usual(18, 14.6, 172)]
#[case::large(120, 105.0, 1_129)]
fn acquire_below_limit(
    #[case] callers: usize,
    #[case] rate: f64,
    #[case] most: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let share = refused_share(callers, rate, most, seed);
    assert!(share <= 0.002, "{share}");
}

// A team sends three times its rate. It must get nearly its whole limit: no entry may hold unused
// allocations while another refuses requests.
#[rstest]
fn acquire_above_limit(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(ENTRIES, 172, Mutant::None, seed);
    let span = Duration::from_secs(30);
    for _ in 0..span.as_millis() / STEP.as_millis() {
        if simulation.random().random_bool(90.0 * STEP.as_secs_f64()) {
            let entry = simulation.random().random_range(0..ENTRIES);
            simulation.request(entry);
        }
        simulation.step();
    }
    let allowed = 172.0 * span.as_secs_f64() / 5.0;
    let passed_share = simulation.passed.len() as f64 / allowed;
    assert!(passed_share >= 0.9, "{passed_share}");
}
