//! Detection time and false ejections of [`crate::health`], against consecutive
//! errors and a fixed latency threshold on the same streams of outcomes.

mod consecutive;
mod detector;
pub(crate) mod judged;
mod score;
mod threshold;
mod watcher;

use std::cell::RefCell;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::model::Agent;
use crate::model::Fault;
use crate::model::Gray;
use crate::model::Plan;
use crate::model::World;
use score::Score;
use watcher::Watcher;

/// Threads that share the seeds.
const THREADS: u64 = 4;
/// How long the fault lasts, to the end of the run.
const FAULT: Duration = Duration::from_secs(15);

/// Kinds of failure, taken by turns over the seeds.
const KINDS: [(&str, Gray); 8] = [
    ("cut, 5 in 10", Gray::Cut(0.5)),
    ("errors, all", Gray::Errors(1.0)),
    ("errors, 3 in 10", Gray::Errors(0.3)),
    ("flapping, 3 s", Gray::Flapping(Duration::from_secs(3))),
    ("no connection", Gray::NoConnection),
    ("one way, half the entries", Gray::OneWay(22)),
    ("silent, all", Gray::Silent(1.0)),
    ("slow, 5 times", Gray::Slow(5.0)),
];

/// Runs `seeds` seeds of both models at both ends of the knob, and prints a table.
#[must_use]
pub fn run(seeds: u64) -> String {
    let length = Duration::from_secs(45);
    let mut text = String::new();
    for (name, plan) in [("hull-register", Plan::hull_register()), ("knjizara", Plan::knjizara())] {
        text += &both_ends(name, &Plan { length, ..plan }, seeds);
    }
    text
}

/// The same at the size to come: 520 entries, and an upstream that gets 6.5
/// requests a second of all of them, so that learning its past takes minutes.
#[must_use]
pub fn run_large(seeds: u64) -> String {
    let plan = Plan {
        entries: 520,
        length: Duration::from_secs(615),
        rate: 364.0,
        upstreams: 56,
        ..Plan::hull_register()
    };
    both_ends("520 entries", &plan, seeds)
}

fn both_ends(name: &str, plan: &Plan, seeds: u64) -> String {
    let mut text = String::new();
    for sensitivity in [0.0, 1.0] {
        let score = measure(plan, sensitivity, seeds);
        text += &format!("\n{name}, sensitivity {sensitivity}, {seeds} seeds\n");
        text += &score.table(&KINDS.map(|(kind, _)| kind));
    }
    text
}

fn measure(plan: &Plan, sensitivity: f64, seeds: u64) -> Score {
    let mut whole = Score::default();
    thread::scope(|scope| {
        let work = |first: u64| {
            let mut score = Score::default();
            for seed in (first..seeds).step_by(THREADS as usize) {
                one(plan, sensitivity, seed, &mut score);
            }
            score
        };
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(move || work(first))).collect();
        for thread in threads {
            if let Ok(score) = thread.join() {
                whole.add(score);
            }
        }
    });
    whole
}

fn one(plan: &Plan, sensitivity: f64, seed: u64, score: &mut Score) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let kind = (seed % KINDS.len() as u64) as usize;
    let upstream = random.random_range(0..plan.upstreams);
    let mut plan = plan.clone();
    let from = plan.length - FAULT;
    plan.faults = vec![Fault { from, gray: KINDS[kind].1, until: plan.length, upstream }];
    let name = judged::upstream_name(upstream);
    let uses = |entry: &usize| judged::picker(&plan, *entry, seed, |_| {}).connections(&name) > 0;
    let users: Vec<usize> = (0..plan.entries).filter(uses).collect();
    let log = RefCell::new(Vec::new());
    let agents = (0..plan.entries)
        .map(|entry| {
            Box::new(Watcher::new(&plan, entry, sensitivity, seed, &log)) as Box<dyn Agent>
        })
        .collect();
    let _ = World::new(plan.clone(), agents, seed).run();
    score.count(&plan, kind, &users, &log.into_inner());
}
