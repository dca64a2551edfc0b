//! Detection time and false ejections of [`crate::health`], against consecutive
//! errors and a fixed latency threshold on the same streams of outcomes.

pub(crate) mod chooser;
mod consecutive;
mod detector;
mod entry;
pub(crate) mod judged;
mod score;
mod threshold;
mod watcher;

use std::cell::RefCell;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::health::Config;
use crate::health::Input;
use crate::health::Kind;
use crate::model::Agent;
use crate::model::Fault;
use crate::model::Gray;
use crate::model::Outcome;
use crate::model::Plan;
use crate::model::World;
use detector::Way;
use entry::Entry;
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

/// Runs `seeds` seeds of both models at both ends of the knob, at a share of what
/// the upstreams can do, and prints a table.
#[must_use]
pub fn run(seeds: u64, load: f64) -> String {
    let length = Duration::from_secs(45);
    let mut text = String::new();
    for (name, plan) in [("hull-register", Plan::hull_register()), ("knjizara", Plan::knjizara())] {
        let plan = Plan { length, ..plan }.at_load(load);
        text += &both_ends(&format!("{name}, load {load}"), &plan, seeds);
    }
    text
}

/// The same at the size to come: 520 entries, of which 150 use an upstream, and
/// 6.5 requests a second of all of them, so that learning its past takes minutes.
/// Fewer upstreams than then, which changes nothing for each of them.
#[must_use]
pub fn run_large(seeds: u64) -> String {
    let plan = Plan {
        entries: 520,
        length: Duration::from_secs(415),
        rate: 91.0,
        upstreams: 14,
        ..Plan::hull_register()
    };
    both_ends("520 entries", &plan, seeds) + &cost()
}

/// What callers receive when each way of detecting decides where work goes: one
/// upstream fails for the last quarter minute, in each of the kinds by turns.
#[must_use]
pub fn run_acting(seeds: u64) -> String {
    let ways = [
        ("none", None, 0.0),
        ("consecutive", Some(Way::Consecutive), 0.0),
        ("threshold", Some(Way::Threshold), 0.0),
        ("judge, 0.0", Some(Way::Judge), 0.0),
        ("judge, 1.0", Some(Way::Judge), 1.0),
    ];
    let length = Duration::from_secs(45);
    let mut text =
        String::from("way           failed a run  refused a run  p50 ms  p99 ms  p99.9 ms\n");
    for (name, plan) in [("hull-register", Plan::hull_register()), ("knjizara", Plan::knjizara())] {
        text += &format!("{name}, {seeds} seeds\n");
        for (way_name, way, sensitivity) in ways {
            let plan = Plan { length, ..plan.clone() };
            text += &format!("{way_name:12} {}\n", received(&plan, way, sensitivity, seeds));
        }
    }
    text
}

fn received(plan: &Plan, way: Option<Way>, sensitivity: f64, seeds: u64) -> String {
    let mut whole = Outcome::default();
    for seed in 0..seeds {
        let (plan, _) = failing(plan, seed);
        let setup = Config { floor_count: 2, floor_share: 0.6, sensitivity };
        let agent = |entry| Entry::new(&plan, entry, way, setup.clone(), seed);
        let agents = (0..plan.entries).map(|entry| Box::new(agent(entry)) as Box<dyn Agent>);
        let outcome = World::new(plan.clone(), agents.collect(), seed).run();
        whole.failed += outcome.failed;
        whole.refused += outcome.refused;
        whole.latencies.extend(outcome.latencies);
    }
    whole.latencies.sort_unstable();
    let at = |share| whole.quantile(share).as_secs_f64() * 1000.0;
    let each = |count: u64| count as f64 / seeds as f64;
    format!(
        "{:12.1} {:14.1} {:7.1} {:7.1} {:9.1}",
        each(whole.failed),
        each(whole.refused),
        at(0.5),
        at(0.99),
        at(0.999),
    )
}

/// The plan with the fault of a seed, and the kind of it.
fn failing(plan: &Plan, seed: u64) -> (Plan, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let kind = (seed % KINDS.len() as u64) as usize;
    let upstream = random.random_range(0..plan.upstreams);
    let from = plan.length - FAULT;
    let fault = Fault { from, gray: KINDS[kind].1, until: plan.length, upstream };
    (Plan { faults: vec![fault], ..plan.clone() }, kind)
}

/// Time of a tick without suspicion.
fn cost() -> String {
    const TICKS: u32 = 5_000;
    let plan = Plan { upstreams: 56, ..Plan::hull_register() };
    let mut judge = judged::judge(&plan, 0, Config::default(), 0);
    let started = Instant::now();
    for tick in 0..TICKS {
        let now = Config::TICK * tick;
        let upstream = judged::upstream_name(tick as usize % plan.upstreams);
        let latency = plan.service;
        judge.handle(now, Input::Outcome { kind: Kind::Success, latency, upstream });
        judge.handle(now, Input::Tick);
    }
    let each = started.elapsed() / TICKS;
    format!("an outcome and a tick at 56 upstreams: {} us\n", each.as_micros())
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
    let (plan, kind) = failing(plan, seed);
    let upstream = plan.faults[0].upstream;
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
