use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Job;
use super::Simulation;
use crate::clock::Moment;
use crate::rule::Class;

/// Slots of the simulated service: one entry's share of two register upstreams.
const SLOTS: usize = 8;
/// Mean service time of a lookup.
const SERVICE_TIME: Duration = Duration::from_millis(25);
/// How long a caller waits for a lookup.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Lookups per second that the slots can serve.
const CAPACITY_PER_SECOND: f64 = 320.0;
/// Number of callers that share the regular load.
const CALLERS: u32 = 40;

/// Size of a burst: 40 callers that each send 15 requests at once. Ten times what the slots serve
/// within the timeout would be 1,600.
const BURST_REQUESTS: usize = 600;

/// Load patterns that the gate is designed for. Each can be run as a [`Simulation`] over eight
/// slots of 25 ms (320 requests per second).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// 600 requests at once, on top of a light load.
    Burst,
    /// One caller sends twice the capacity, 40 others together an eighth of it.
    HotCaller,
    /// Requests about one record take 400 ms and arrive from 40 callers at 60 per second, next to a
    /// light load on other records.
    HotKey,
    /// Uploads of 2 s arrive at 6 per second, next to a light load of lookups.
    LongJobs,
    /// Three times the capacity from second 2 to second 12, half of it otherwise.
    Overload,
    /// Half the capacity; from second 2 to second 6 everything takes 40 times as long.
    SlowUpstream,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 6] = [
        Self::Burst,
        Self::HotCaller,
        Self::HotKey,
        Self::LongJobs,
        Self::Overload,
        Self::SlowUpstream,
    ];

    /// Classes that the patterns use.
    pub fn classes() -> Vec<Class> {
        let class = |name: &str, weight, wait| Class { name: name.into(), wait, weight };
        let second = Duration::from_secs(1);
        vec![class("lookup", 3, second), class("upload", 1, second * 5)]
    }

    /// Ten seconds of a constant mean load, given as a share of what `slots` can serve.
    pub fn steady(slots: usize, load: f64, seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation { slots, ..Simulation::default() };
        let rate = slots as f64 / SERVICE_TIME.as_secs_f64() * load;
        simulation.add_arrivals(&mut rng, rate, Duration::ZERO, Duration::from_secs(10), &lookup);
        simulation
    }

    /// Builds the simulation of the pattern, randomized by `seed`.
    pub fn simulation(self, seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation { slots: SLOTS, ..Simulation::default() };
        let seconds = Duration::from_secs;
        let mut add = |rate: f64, from: u64, until: u64, make: &dyn Fn(&mut _, _) -> Job| {
            simulation.add_arrivals(&mut rng, rate, seconds(from), seconds(until), make);
        };
        match self {
            Self::Burst => add(CAPACITY_PER_SECOND / 8.0, 0, 4, &lookup),
            Self::HotCaller => {
                add(CAPACITY_PER_SECOND / 8.0, 0, 6, &lookup);
                add(CAPACITY_PER_SECOND * 2.0, 1, 6, &hot_caller);
            }
            Self::HotKey => {
                add(CAPACITY_PER_SECOND / 8.0, 0, 6, &lookup);
                add(60.0, 1, 6, &hot_key);
            }
            Self::LongJobs => {
                add(CAPACITY_PER_SECOND / 4.0, 0, 20, &lookup);
                add(6.0, 1, 20, &upload);
            }
            Self::Overload => {
                add(CAPACITY_PER_SECOND / 2.0, 0, 15, &lookup);
                add(CAPACITY_PER_SECOND * 2.5, 2, 12, &lookup);
            }
            Self::SlowUpstream => add(CAPACITY_PER_SECOND / 2.0, 0, 9, &lookup),
        }
        if self == Self::Burst {
            let burst = (0..BURST_REQUESTS).map(|_| lookup(&mut rng, seconds(2)));
            simulation.jobs.extend(burst);
        }
        if self == Self::SlowUpstream {
            simulation.slowdown = Some((seconds(2), seconds(6), 40));
        }
        simulation
    }
}

fn lookup(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    Job {
        at,
        caller: format!("caller-{}", rng.random_range(0..CALLERS)).into(),
        class: "lookup".into(),
        key: None,
        long: false,
        timeout: TIMEOUT,
        service_time: SERVICE_TIME.mul_f64(rng.random_range(0.5..1.5)),
    }
}

fn hot_caller(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    Job { caller: "hot".into(), ..lookup(rng, at) }
}

fn hot_key(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    let key = Some("hull-4711".into());
    Job { key, service_time: SERVICE_TIME * 16, ..lookup(rng, at) }
}

fn upload(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    Job {
        class: "upload".into(),
        long: true,
        timeout: Duration::from_secs(30),
        service_time: Duration::from_secs(2),
        ..lookup(rng, at)
    }
}
