//! Membership by size of the fleet, against heartbeats from all to all.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake::Conditions;
use crate::fleet::Member;
use crate::fleet::Output;
use crate::fleet::Simulation;
use crate::fleet::Status;
use crate::id::NodeId;

/// Sizes at which the slopes are taken.
pub const SIZES: [usize; 4] = [44, 130, 260, 520];

/// IP, UDP and QUIC headers of a datagram.
const HEADERS: usize = 60;
/// Members killed one after the other.
const KILLS: usize = 8;
/// Heartbeats missed before the baseline takes a member for failed.
const MISSES: u32 = 3;
const SECOND: Duration = Duration::from_secs(1);

/// Runs all measurements at `sizes` and reports them as text.
pub fn run(seed: u64, sizes: &[usize]) -> String {
    let mut report = String::new();
    let _ = writeln!(
        report,
        "fleet, seed {seed}; bytes with {HEADERS} B of headers a datagram, sent by a node"
    );
    for size in sizes {
        let _ = writeln!(report, "size {size}");
        measure(seed, *size, &mut report);
        let (rate, p99, wrong) = heartbeats(seed, *size);
        let _ = writeln!(
            report,
            "  baseline all-to-all: {rate:.0} B/s, detect p99 {p99:.1} s, false at 5% loss in 600 s: {wrong}"
        );
    }
    report
}

fn measure(seed: u64, size: usize, report: &mut String) {
    let before = resident();
    let mut trial = Simulation::new(seed, size, Conditions::reliable());
    trial.run(SECOND * 60);
    let memory = resident().saturating_sub(before) / size;
    let settled = trial.agrees(size);
    let peak = worst(&trial);
    let _ =
        writeln!(report, "  start at once: settled {settled}, worst second {peak} messages in all");
    let _ = writeln!(report, "  memory: {memory} B a node, with its share of the fake network");
    steady(&mut trial, size, report);
    detection(&mut trial, size, report);
    churn(&mut trial, size, report);
    domain(&mut trial, report);
    let long = size <= 260;
    region(&mut trial, if long { 3600 } else { 600 }, report);
    loss(&mut trial, if long { 600 } else { 120 }, report);
}

fn steady(trial: &mut Simulation, size: usize, report: &mut String) {
    trial.reset();
    let span = 30;
    let start = Instant::now();
    trial.run(SECOND * span);
    let spent = start.elapsed().as_secs_f64() / f64::from(span) / size as f64;
    let messages = trial.messages.values().sum::<u64>() as f64 / f64::from(span) / size as f64;
    let _ = writeln!(
        report,
        "  steady: {:.0} B/s, {messages:.1} messages/s, {:.4}% of a core (with codec and fake network)",
        rate(trial, span),
        spent * 100.0
    );
}

fn detection(trial: &mut Simulation, size: usize, report: &mut String) {
    let mut suspected = Vec::new();
    let mut failed = Vec::new();
    for kill in 0..KILLS {
        let index = 3 + kill * (size - 3) / KILLS;
        let id = Simulation::id(index);
        trial.reset();
        let at = trial.now;
        trial.kill(&id);
        trial.run(SECOND * 12);
        suspected.extend(times(trial, &Output::Suspected(id.clone()), at));
        failed.extend(times(trial, &Output::Failed(id), at));
        trial.start(index);
        trial.run(SECOND * 12);
    }
    let _ = writeln!(
        report,
        "  detect, {KILLS} kills, at every member: suspected p50 {:.2} s p99 {:.2} s; failed p50 {:.2} s p99 {:.2} s",
        quantile(&mut suspected, 0.5),
        quantile(&mut suspected, 0.99),
        quantile(&mut failed, 0.5),
        quantile(&mut failed, 0.99)
    );
}

/// Restarts one member every 20 s; 843 failures and restarts a day are one in 102 s.
fn churn(trial: &mut Simulation, size: usize, report: &mut String) {
    trial.reset();
    for restart in 0..10 {
        let index = 4 + restart * (size - 4) / 10;
        trial.kill(&Simulation::id(index));
        trial.run(SECOND * 10);
        trial.start(index);
        trial.run(SECOND * 10);
    }
    let peak = worst(trial);
    let _ = writeln!(
        report,
        "  one restart in 20 s (five times the daily rate at 520): {:.0} B/s, worst second {peak} messages",
        rate(trial, 200)
    );
}

fn domain(trial: &mut Simulation, report: &mut String) {
    let gone = trial.domain(3);
    let rest = trial.members.len() - gone.len();
    trial.reset();
    gone.iter().for_each(|id| trial.kill(id));
    let lost = settle(trial, |trial| gone.iter().all(|id| failed(trial, id)));
    let (peak, bytes) = (worst(trial), total(trial));
    let _ = writeln!(
        report,
        "  failure domain of {} lost: {lost} until failed everywhere, worst second {peak} messages, {bytes} B a node",
        gone.len()
    );
    trial.reset();
    let back: Vec<usize> = gone.iter().filter_map(index).collect();
    back.iter().for_each(|index| trial.start(*index));
    let back = settle(trial, |trial| trial.agrees(rest + gone.len()));
    let (peak, bytes) = (worst(trial), total(trial));
    let _ = writeln!(
        report,
        "  back at once: {back} until all agree, worst second {peak} messages, {bytes} B a node"
    );
}

fn region(trial: &mut Simulation, span: u32, report: &mut String) {
    let all = trial.members.len();
    let region = trial.region("r1");
    trial.reset();
    trial.cut_off(&region);
    trial.run(SECOND * span);
    let during = rate(trial, span);
    trial.net.heal_all();
    trial.reset();
    let back = settle(trial, |trial| trial.agrees(all));
    let wrong = failures(trial);
    let (peak, bytes) = (worst(trial), total(trial));
    let _ = writeln!(
        report,
        "  region of {} cut for {span} s at {during:.0} B/s; back: {back} until all agree, {wrong} verdicts, worst second {peak} messages, {bytes} B a node",
        region.len()
    );
}

fn loss(trial: &mut Simulation, span: u32, report: &mut String) {
    trial.reset();
    trial.net.conditions.loss = 0.05;
    trial.run(SECOND * span);
    let suspected = trial.events.iter().filter(|(_, _, o)| matches!(o, Output::Suspected(_)));
    let suspected = suspected.count();
    let wrong = failures(trial);
    let bytes = rate(trial, span);
    trial.net.conditions.loss = 0.0;
    let _ = writeln!(
        report,
        "  5% loss for {span} s: {wrong} false verdicts, {suspected} suspicions heard, {bytes:.0} B/s"
    );
}

/// Bytes a second, p99 of detection in seconds and false verdicts of a fleet in which
/// each member sends a heartbeat to each other every second.
fn heartbeats(seed: u64, size: usize) -> (f64, f64, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let payload = 4;
    let rate = ((size - 1) * (HEADERS + payload)) as f64;
    let mut seen = vec![0_u32; size * (size - 1)];
    let mut wrong = 0;
    for _ in 0..600 {
        for missed in &mut seen {
            *missed = if random.random_bool(0.05) { *missed + 1 } else { 0 };
            wrong += u64::from(*missed == MISSES);
        }
    }
    let mut detect: Vec<f64> =
        (0..1000).map(|_| f64::from(MISSES) + random.random_range(0.0..1.0)).collect();
    (rate, quantile(&mut detect, 0.99), wrong)
}

fn failed(trial: &Simulation, id: &NodeId) -> bool {
    let status = |member: &Member| member.record(id).map(|(_, status)| status);
    trial.members.values().all(|member| status(member) == Some(Status::Failed))
}

fn settle(trial: &mut Simulation, done: impl Fn(&Simulation) -> bool) -> String {
    let start = trial.now;
    while trial.now < start + SECOND * 300 {
        trial.run(SECOND);
        if done(trial) {
            return format!("{} s", (trial.now - start).as_secs());
        }
    }
    "more than 300 s".into()
}

fn times(trial: &Simulation, wanted: &Output, from: Duration) -> Vec<f64> {
    let found = trial.events.iter().filter(|(_, _, output)| output == wanted);
    found.map(|(at, _, _)| at.saturating_sub(from).as_secs_f64()).collect()
}

fn failures(trial: &Simulation) -> usize {
    trial.events.iter().filter(|(_, _, output)| matches!(output, Output::Failed(_))).count()
}

fn index(id: &NodeId) -> Option<usize> {
    id.trim_start_matches("vm-").parse().ok()
}

fn worst(trial: &Simulation) -> u64 {
    trial.messages.values().max().copied().unwrap_or(0)
}

fn total(trial: &Simulation) -> u64 {
    trial.sent.values().sum::<u64>() / trial.members.len() as u64
}

fn rate(trial: &Simulation, seconds: u32) -> f64 {
    trial.sent.values().sum::<u64>() as f64 / f64::from(seconds) / trial.members.len() as f64
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = ((values.len() as f64 - 1.0) * part).round() as usize;
    values.get(place).copied().unwrap_or(f64::NAN)
}

/// Resident memory of this process in bytes; 0 where the system doesn't tell.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}
