use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Job;
use super::Simulation;
use crate::clock::Moment;
use crate::rule::Class;

/// Slots of the service: two upstreams of the old register, as one entry's share.
const SLOTS: usize = 8;
/// Mean time of a lookup in a slot.
const SERVICE: Duration = Duration::from_millis(25);
/// How long a caller waits for a lookup.
const PATIENCE: Duration = Duration::from_millis(500);
/// Lookups a second that the slots can serve.
const CAPACITY: f64 = 320.0;
/// Callers of the even load.
const CALLERS: u32 = 40;

/// Requests of a burst: ten times what the slots serve within the timeout
/// is 1,600; 600 is what 40 callers send at once who each ask for 15 hulls.
const BURST: usize = 600;

/// The load patterns that the gate is made for, each as a [`Simulation`] over eight
/// slots of 25 ms (320 requests a second).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// 600 requests at one moment, on a light load.
    Burst,
    /// One caller sends twice the capacity, 40 others an eighth of it.
    HotCaller,
    /// Requests about one record take 400 ms, and come at 60 a second from 40
    /// callers, beside a light load on other records.
    HotKey,
    /// Uploads of 2 s come at 6 a second, beside a light load of lookups.
    LongJobs,
    /// Three times the capacity from second 2 to second 12, else half of it.
    Overload,
    /// Half the capacity; from second 2 to second 6 everything takes 40 times
    /// as long.
    SlowUpstream,
}

impl Pattern {
    /// Every pattern.
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

    /// Ten seconds of an even load, as a share of what `slots` can serve.
    pub fn steady(slots: usize, load: f64, seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation { slots, ..Simulation::default() };
        let rate = slots as f64 / SERVICE.as_secs_f64() * load;
        simulation.add_arrivals(&mut rng, rate, Duration::ZERO, Duration::from_secs(10), &lookup);
        simulation
    }

    /// The pattern with its random parts from `seed`.
    pub fn simulation(self, seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation { slots: SLOTS, ..Simulation::default() };
        let seconds = Duration::from_secs;
        let mut add = |rate: f64, from: u64, until: u64, make: &dyn Fn(&mut _, _) -> Job| {
            simulation.add_arrivals(&mut rng, rate, seconds(from), seconds(until), make);
        };
        match self {
            Self::Burst => add(CAPACITY / 8.0, 0, 4, &lookup),
            Self::HotCaller => {
                add(CAPACITY / 8.0, 0, 6, &lookup);
                add(CAPACITY * 2.0, 1, 6, &hot_caller);
            }
            Self::HotKey => {
                add(CAPACITY / 8.0, 0, 6, &lookup);
                add(60.0, 1, 6, &hot_key);
            }
            Self::LongJobs => {
                add(CAPACITY / 4.0, 0, 20, &lookup);
                add(6.0, 1, 20, &upload);
            }
            Self::Overload => {
                add(CAPACITY / 2.0, 0, 15, &lookup);
                add(CAPACITY * 2.5, 2, 12, &lookup);
            }
            Self::SlowUpstream => add(CAPACITY / 2.0, 0, 9, &lookup),
        }
        if self == Self::Burst {
            let burst = (0..BURST).map(|_| lookup(&mut rng, seconds(2)));
            simulation.jobs.extend(burst);
        }
        if self == Self::SlowUpstream {
            simulation.slow = Some((seconds(2), seconds(6), 40));
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
        timeout: PATIENCE,
        service_time: SERVICE.mul_f64(rng.random_range(0.5..1.5)),
    }
}

fn hot_caller(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    Job { caller: "hot".into(), ..lookup(rng, at) }
}

fn hot_key(rng: &mut ChaCha8Rng, at: Moment) -> Job {
    let key = Some("hull-4711".into());
    Job { key, service_time: SERVICE * 16, ..lookup(rng, at) }
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
