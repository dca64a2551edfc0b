//! The promises, by seed.

use rstest::rstest;

use super::judge::Margin;
use super::plan::Plan;
use super::world::World;

fn check_floor(plan: Plan) {
    let Margin { left, what } = World::run(plan).floor_margin();
    assert!(left >= 0.0, "{left:.2} below the floor: {what}");
}

// Sound upstreams had no request for seconds: trials were due by lots drawn at each entry, within
// 2.8 s only after losses were seen, and lapsed at entries without requests or at a restart.
#[rstest]
fn floor_held_amid_restarts(#[values(0, 1, 9, 15, 24, 27)] seed: u64) {
    check_floor(Plan::restarts(seed));
}

// One of two sound upstreams of a service had no request for 2 s.
#[test]
fn floor_held_two_sound() {
    check_floor(Plan::restarts(48));
}

// Two entries that stood first for an upstream had lost the path to it, or had no callers.
#[rstest]
fn floor_held_amid_lost_paths(#[values(6, 31, 53)] seed: u64) {
    check_floor(Plan::restarts(seed));
}

// Upstreams that had failed a request had none in the 2 s after it, in services with few.
#[rstest]
fn floor_held_after_failures(#[values(12, 19, 33, 38, 39)] seed: u64) {
    check_floor(Plan::restarts(seed));
}

// A quarter of the requests was lost while a third of the sound upstreams had none for 2 s.
#[rstest]
fn floor_held_most_out(#[values(0, 6, 24, 29)] seed: u64) {
    check_floor(Plan::scarce(seed));
}

// Requests that hung from before an outage counted as failed trials, and put off the next one.
#[rstest]
fn floor_held_most_hanging(#[values(0, 24)] seed: u64) {
    check_floor(Plan::hanging(seed));
}

// Upstreams that had just started got the requests of all entries at once, and were cold.
#[test]
fn floor_held_amid_additions() {
    check_floor(Plan::additions(5));
}

// Work took longer than what others sent was waited for, so every upstream seemed to have nothing.
#[rstest]
fn floor_held_long_work(#[values(0, 4, 35)] seed: u64) {
    check_floor(Plan::long_work(seed));
}

// Processes are killed, and callers move, while most upstreams of a service fail.
#[rstest]
fn budget_held_amid_kills(#[values(1, 3, 7, 17, 19)] seed: u64) {
    let Margin { left, what } = World::run(Plan::outages(seed)).budget_margin();
    assert!(left >= 0.0, "{left:.2} of the budget left: {what}");
}

// Copies arrive when the paths that held them up heal, next to what was sent since.
#[rstest]
fn budget_held_on_late_paths(#[values(5, 8)] seconds: u64, #[values(0, 1, 2, 3, 4, 5)] seed: u64) {
    let Margin { left, what } = World::run(Plan::late(seed, seconds)).budget_margin();
    println!("{left:.3} of the budget left: {what}");
    assert!(left >= 0.0, "{left:.2} of the budget left: {what}");
}

// A request ends each upstream that runs it and comes at any entry, while entries and controls are
// killed. A hot path is in flight at most of these deaths.
#[rstest]
fn fatal_request_quarantined(
    #[values(2, 12, 116)] entries: usize,
    #[values(0, 1, 2)] seed: u64,
    #[values(1, 40)] callers: u64,
) {
    let world = World::run(Plan { callers, ..Plan::fatal(seed, entries, 1) });
    let seen = &world.seen;
    let (ended, late, innocent) = (seen.ends.len(), seen.late(), seen.innocent);
    println!("{ended} ended, {late} sent late, {innocent} others refused");
    assert!(ended >= 3 && late <= 3 && innocent == 0, "{ended} {late} {innocent}");
}

// A control that had just started told an entry that had, too, of no quarantine, and the request was sent on.
#[rstest]
fn fatal_request_quarantined_after_restarts(#[values(3, 10, 11)] seed: u64) {
    let seen = World::run(Plan::fatal(seed, 2, 1)).seen;
    assert!(seen.late() <= 3 && seen.innocent == 0, "{} {}", seen.late(), seen.innocent);
}

// Two requests end upstreams at the same time. Those of each are to be told from those of the other.
#[rstest]
fn fatal_requests_quarantined(
    #[values(2, 12, 40)] entries: usize,
    #[values(0, 1, 2)] seed: u64,
    #[values(1, 40)] callers: u64,
) {
    let world = World::run(Plan { callers, ..Plan::fatal(seed, entries, 2) });
    let seen = &world.seen;
    let (ended, least, late) = (seen.ends.len(), seen.least_ended(), seen.late());
    println!(
        "{ended} ended, {least} at least under each, {late} sent late, {} others refused",
        seen.innocent
    );
    assert!(ended >= 3 && late <= 3 && seen.innocent == 0, "{ended} {late} {}", seen.innocent);
}

// An entry is cut off within the second in which upstreams end, and hears of no answer to a hot request that was in
// flight at just the crashes of a fatal one.
#[test]
fn fatal_requests_quarantined_cut_off() {
    let seen = World::run(Plan::fatal(8, 12, 2)).seen;
    assert!(seen.late() <= 3 && seen.innocent == 0, "{} {}", seen.late(), seen.innocent);
}

// Upstreams end by themselves and reset connections all day, with all that is in flight there.
#[rstest]
fn innocent_requests_served(
    #[values(20, 120)] crashes: usize,
    #[values(0, 1, 2)] seed: u64,
    #[values(1, 40)] callers: u64,
) {
    let world = World::run(Plan { callers, ..Plan::crashes(seed, 24, crashes) });
    let seen = &world.seen;
    println!("{} ended, {} refused, {:.3} served", seen.ends.len(), seen.innocent, world.served());
    assert!(seen.ends.len() >= crashes / 2 && seen.innocent == 0, "{seen:?}");
}

// A small change waited for a large one that was under way, over links that callers fill.
#[rstest]
fn change_in_force_on_full_links(#[values(8, 13, 25, 35)] seed: u64) {
    let Margin { left, what } = World::run(Plan::changes(seed)).change_margin();
    assert!(left >= 0.0, "{left:.2} s late: {what}");
}

/// Runs many seeds, `FLEET_MODEL_SEEDS` of each plan, and prints the least margins.
#[test]
#[ignore = "takes minutes"]
fn margins_of_many_seeds() {
    let seeds = std::env::var("FLEET_MODEL_SEEDS").ok().and_then(|text| text.parse().ok());
    let seeds: u64 = seeds.unwrap_or(100);
    let workers = std::thread::available_parallelism().map_or(2, usize::from) as u64 - 1;
    let run = |worker: u64| {
        let mut results = Vec::new();
        for seed in (0..seeds).filter(|seed| seed % workers == worker) {
            let restarts = World::run(Plan::restarts(seed));
            results.push(("restarts", seed, restarts.floor_margin(), restarts.served(), 0.0));
            for (name, plan) in [
                ("long work", Plan::long_work(seed)),
                ("additions", Plan::additions(seed)),
                ("scarce", Plan::scarce(seed)),
                ("hanging", Plan::hanging(seed)),
            ] {
                let world = World::run(plan);
                results.push((name, seed, world.floor_margin(), world.served(), 0.0));
            }
            results.push(("restarts, budget", seed, restarts.budget_margin(), 0.0, 0.0));
            let outages = World::run(Plan::outages(seed));
            results.push(("outages", seed, outages.budget_margin(), outages.served(), 0.0));
            for (name, seconds) in [("late by 5 s", 5), ("late by 8 s", 8)] {
                let late = World::run(Plan::late(seed, seconds));
                results.push((name, seed, late.budget_margin(), late.served(), 0.0));
            }
            let changes = World::run(Plan::changes(seed));
            let slowest = changes.slowest_acknowledgement();
            results.push(("changes", seed, changes.change_margin(), changes.served(), slowest));
        }
        results
    };
    let mut results = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..workers).map(|worker| scope.spawn(move || run(worker))).collect();
        threads.into_iter().for_each(|it| results.extend(it.join().expect("a run")));
    });
    let plans = [
        "restarts",
        "long work",
        "additions",
        "scarce",
        "hanging",
        "restarts, budget",
        "outages",
        "late by 5 s",
        "late by 8 s",
        "changes",
    ];
    for plan in plans {
        let mut of_plan: Vec<_> = results.iter().filter(|it| it.0 == plan).collect();
        of_plan.sort_by(|a, b| a.2.left.total_cmp(&b.2.left));
        let broken = of_plan.iter().filter(|it| it.2.left < 0.0).count();
        let served = of_plan.iter().map(|it| it.3).sum::<f64>() / of_plan.len().max(1) as f64;
        let slowest = of_plan.iter().map(|it| it.4).fold(0.0, f64::max);
        println!(
            "{plan}: {broken} of {seeds} seeds below the promise, {served:.4} served, slowest acknowledgement {slowest:.2} s"
        );
        for (_, seed, margin, ..) in of_plan.iter().take(5) {
            println!("  seed {seed}: {:+.3}, {}", margin.left, margin.what);
        }
    }
}

/// A fleet of the size that is expected.
#[test]
#[ignore = "takes minutes"]
fn fatal_large_fleet() {
    let seen = World::run(Plan::fatal(0, 520, 1)).seen;
    println!(
        "{} ended, {} sent late, {} others refused",
        seen.ends.len(),
        seen.late(),
        seen.innocent
    );
    assert!(seen.late() <= 3 && seen.innocent == 0);
}

/// Runs `FLEET_MODEL_SEEDS` days with fatal requests and as many with crashes alone, and prints the worst.
#[test]
#[ignore = "takes minutes"]
fn fatal_many_seeds() {
    let seeds = std::env::var("FLEET_MODEL_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(50) {
        for callers in [1, 40] {
            play_fatal(seed, callers);
        }
    }
}

fn play_fatal(seed: u64, callers: u64) {
    for (entries, requests) in [(2, 1), (12, 1), (40, 1), (12, 2), (40, 3)] {
        let seen = World::run(Plan { callers, ..Plan::fatal(seed, entries, requests) }).seen;
        let (ended, late, innocent) = (seen.ends.len(), seen.late(), seen.innocent);
        if late > 3 || innocent > 0 || ended > 12 {
            println!(
                "{entries} entries, {requests} fatal, {callers} callers, seed {seed}: \
                 {ended} {late} {innocent}"
            );
        }
    }
    let crashes = 20 + 4 * seed as usize;
    let seen = World::run(Plan { callers, ..Plan::crashes(seed, 24, crashes) }).seen;
    if seen.innocent > 0 {
        println!("{crashes} crashes, {callers} callers, seed {seed}: {} innocent", seen.innocent);
    }
}
