//! What a loss comes to with the policy and with a plain count of tries, and
//! what hedges do for the tail of latency.

use std::fmt::Write;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::retry::Decide;
use crate::retry::MaxAttempts;
use crate::retry::Outage;
use crate::retry::Policy;
use crate::retry::Report;
use crate::retry::Simulation;

/// Lookups for one row about hedges.
const LOOKUPS: usize = 200_000;
/// Upstreams among which each copy picks.
const UPSTREAMS: usize = 30;

/// What is slow while hedges are measured.
#[derive(Clone, Copy, Debug)]
enum Slow {
    /// The whole service, ten times.
    All,
    /// Nothing.
    None,
    /// One upstream of thirty, ten times.
    One,
    /// One lookup in fifty, ten times, wherever it goes.
    Tail,
}

/// Runs all storms and hedges over `seeds` and gives two tables.
pub fn run(seeds: u64) -> String {
    let mut table = storms(seeds);
    table += "\nslow   hedges  p50      p99      p99.9    copies a lookup  won\n";
    for slow in [Slow::None, Slow::One, Slow::Tail, Slow::All] {
        for hedged in [false, true] {
            let _ = writeln!(table, "{}", hedges(slow, hedged));
        }
    }
    table
}

fn storms(seeds: u64) -> String {
    let mut table = String::from(
        "loss        avoids  decider  tries a request  worst second  answered  not run  failed\n",
    );
    for outage in [Outage::Domain, Outage::Silence, Outage::Everything] {
        for avoid in [false, true] {
            for ours in [true, false] {
                let _ = writeln!(table, "{}", storm(outage, avoid, ours, seeds));
            }
        }
    }
    table
}

fn storm(outage: Outage, avoid: bool, ours: bool, seeds: u64) -> String {
    let make = |seed| -> Box<dyn Decide> {
        match ours {
            true => Box::new(Policy::new(ChaCha8Rng::seed_from_u64(seed))),
            false => Box::new(MaxAttempts(3)),
        }
    };
    let mut sum = Report::default();
    for seed in 0..seeds {
        let report = Simulation { avoids_failed: avoid, idempotent: true, outage, seed }.run(&make);
        sum.add(&report);
    }
    let percent =
        |count: u32| format!("{:.1}%", f64::from(count) * 100.0 / f64::from(sum.requests));
    format!(
        "{:<11} {avoid:<7} {:<8} {:<16.3} {:<13.3} {:<9} {:<8} {}",
        format!("{outage:?}"),
        if ours { "policy" } else { "3 tries" },
        sum.amplification(),
        sum.worst_amplification,
        percent(sum.answered),
        percent(sum.not_run),
        percent(sum.failed),
    )
}

fn hedges(slow: Slow, hedged: bool) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut policy = Policy::new(ChaCha8Rng::seed_from_u64(2));
    let mut times = Vec::with_capacity(LOOKUPS);
    let mut copies = 0;
    let mut wins = 0;
    for _ in 0..LOOKUPS {
        policy.record_first(Duration::ZERO);
        copies += 1;
        let first = rng.random_range(0..UPSTREAMS);
        let mut time = lookup(slow, first, &mut rng);
        let after = policy.hedge_after().filter(|after| hedged && *after < time);
        if let Some(after) = after.filter(|_| policy.try_hedge(Duration::from_secs(5))) {
            copies += 1;
            let second = (first + rng.random_range(1..UPSTREAMS)) % UPSTREAMS;
            let late = after + lookup(slow, second, &mut rng);
            policy.record_hedge(late < time);
            wins += usize::from(late < time);
            time = time.min(late);
        }
        policy.record_latency(time);
        times.push(time);
    }
    times.sort_unstable();
    let at = |permille: usize| format!("{:.1?}", times[(LOOKUPS - 1) * permille / 1000]);
    let load = copies as f64 / LOOKUPS as f64;
    let won = wins as f64 / (copies - LOOKUPS).max(1) as f64;
    let [half, most, all] = [at(500), at(990), at(999)];
    format!(
        "{:<6} {hedged:<7} {half:<8} {most:<8} {all:<8} {load:<16.3} {won:.2}",
        format!("{slow:?}")
    )
}

/// Time of a lookup: 15 ms and an exponential rest of 10 ms on average.
fn lookup(slow: Slow, upstream: usize, rng: &mut ChaCha8Rng) -> Duration {
    let rest = -(1.0 - rng.random::<f64>()).ln() * 0.010;
    let slower = match slow {
        Slow::All => true,
        Slow::None => false,
        Slow::One => upstream == 0,
        Slow::Tail => rng.random_range(0..50) == 0,
    };
    Duration::from_secs_f64((0.015 + rest) * if slower { 10.0 } else { 1.0 })
}
