//! Latencies, wasted slots and connections of [`crate::balance`], against taking
//! turns, least in flight and two choices over the same arrivals.

mod picked;
mod simple;

use std::time::Duration;
use std::time::Instant;

use crate::balance::Completion;
use crate::balance::Request;
use crate::balance::Setup;
use crate::bench::health::judged;
use crate::health::Kind;
use crate::model::Agent;
use crate::model::Plan;
use crate::model::World;
use picked::Picked;
use simple::Rule;
use simple::Simple;

/// A way of choosing that is measured.
#[derive(Clone, Copy)]
enum Way {
    Picker(fn(&mut Setup)),
    Simple(Rule),
}

const WAYS: [(&str, Way); 8] = [
    ("turns", Way::Simple(Rule::Turns)),
    ("least in flight", Way::Simple(Rule::LeastInFlight)),
    ("two choices", Way::Simple(Rule::TwoChoices)),
    ("picker", Way::Picker(|_| {})),
    ("picker, reports", Way::Picker(|setup| setup.uses_reports = true)),
    ("picker, no near", Way::Picker(|setup| setup.remote_cost = 1.0)),
    ("picker, most 32", Way::Picker(|setup| setup.subset_max = 32)),
    ("picker, most 6", Way::Picker(|setup| setup.subset_max = 6)),
];

/// Length of each run.
const LENGTH: Duration = Duration::from_secs(20);

/// Runs `seeds` seeds of each plan at two loads, and prints a table.
#[must_use]
pub fn run(seeds: u64) -> String {
    let mut text = String::new();
    for (name, plan) in plans() {
        for load in [0.5, 0.8] {
            let plan = Plan { length: LENGTH, ..plan.clone() }.at_load(load);
            text += &format!("\n{name}, load {load}, {seeds} seeds of {} s\n", LENGTH.as_secs());
            text += "way               p50 ms  p99 ms  p99.9 ms  refused %  wasted slots  connections\n";
            for (way_name, way) in WAYS {
                text += &format!("{way_name:16} {}\n", line(&plan, way, seeds));
            }
        }
    }
    text + &cost()
}

fn plans() -> [(&'static str, Plan); 6] {
    let large = Plan { entries: 520, upstreams: 56, ..Plan::hull_register() };
    let crowded = Plan { entries: 520, ..Plan::hull_register() };
    [
        ("hull-register, 44 entries", Plan::hull_register()),
        ("cert-office, 44 entries", Plan::cert_office()),
        ("knjizara, 44 entries", Plan::knjizara()),
        ("atelijer, 44 entries", Plan::atelijer()),
        ("30 upstreams, 520 entries", crowded),
        ("56 upstreams, 520 entries", large),
    ]
}

fn line(plan: &Plan, way: Way, seeds: u64) -> String {
    let mut latencies = Vec::new();
    let mut asked = 0;
    let mut refused = 0;
    let mut wasted = 0.0;
    let mut connections = 0;
    for seed in 0..seeds {
        let agents = (0..plan.entries).map(|entry| agent(plan, way, entry, seed)).collect();
        let outcome = World::new(plan.clone(), agents, seed).run();
        asked += outcome.latencies.len() as u64 + outcome.refused + outcome.failed;
        refused += outcome.refused;
        wasted += outcome.wasted / seeds as f64;
        connections = connections.max(outcome.connections);
        latencies.extend(outcome.latencies);
    }
    latencies.sort_unstable();
    let at = |share: f64| {
        let position = (share * latencies.len().saturating_sub(1) as f64) as usize;
        latencies.get(position).map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
    };
    let share = 100.0 * refused as f64 / asked.max(1) as f64;
    format!(
        "{:7.1} {:7.1} {:9.1} {share:10.3} {wasted:13.2} {connections:12}",
        at(0.5),
        at(0.99),
        at(0.999),
    )
}

fn agent(plan: &Plan, way: Way, entry: usize, seed: u64) -> Box<dyn Agent> {
    match way {
        Way::Picker(change) => Box::new(Picked::new(judged::picker(plan, entry, seed, change))),
        Way::Simple(rule) => Box::new(Simple::new(rule, plan.upstreams, entry, seed)),
    }
}

/// Time of a pick and its finish.
fn cost() -> String {
    const PICKS: u32 = 200_000;
    let plan = Plan::hull_register();
    let mut picker = judged::picker(&plan, 0, 0, |_| {});
    let latency = Duration::from_millis(25);
    let started = Instant::now();
    for pick in 0..PICKS {
        let now = Duration::from_micros(u64::from(pick));
        if let Some(pick) = picker.pick(now, &Request::default()) {
            picker.finish(
                now,
                pick.ticket,
                Completion { kind: Kind::Success, latency, report: None },
            );
        }
    }
    let each = started.elapsed() / PICKS;
    format!("\na pick and its finish at 30 upstreams: {} ns\n", each.as_nanos())
}
