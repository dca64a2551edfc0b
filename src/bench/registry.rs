//! The registry by number of upstreams and entries.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use crate::registry::Announcement;
use crate::registry::Registry;
use crate::registry::Simulation;
use crate::registry::State;

/// Entries and upstreams at which the slopes are taken.
pub const SIZES: [(usize, usize); 5] = [(44, 64), (44, 525), (130, 1550), (260, 3100), (44, 6200)];

const SECOND: Duration = Duration::from_secs(1);

/// Runs all measurements at `sizes` and reports them as text.
pub fn run(seed: u64, sizes: &[(usize, usize)]) -> String {
    let mut report = String::new();
    let _ = writeln!(
        report,
        "registry, seed {seed}; bytes with 60 B of headers a datagram, sent by a node, fleet apart"
    );
    for (entries, upstreams) in sizes {
        let _ = writeln!(report, "{entries} entries, {upstreams} upstreams");
        measure(seed, *entries, *upstreams, &mut report);
    }
    report
}

fn measure(seed: u64, entries: usize, upstreams: usize, report: &mut String) {
    let mut trial = Simulation::new(seed, entries);
    let before = resident();
    for index in 0..upstreams {
        trial.announce(index % entries, Simulation::announcement(index));
        if index % (upstreams / 60 + 1) == 0 {
            trial.run(SECOND / 2);
        }
    }
    let known = settle(&mut trial, |trial| agrees(trial, upstreams));
    let memory = resident().saturating_sub(before) / entries;
    let sent = rate(&trial, 1);
    let _ = writeln!(
        report,
        "  announced over 30 s: {known} more until all know all; {sent:.0} B a node in all; {memory} B of memory a node"
    );
    trial.run(SECOND * 60);
    steady(&mut trial, entries, report);
    drains(&mut trial, upstreams, report);
    one_drain(&mut trial, upstreams, report);
    home(&mut trial, upstreams, report);
}

fn steady(trial: &mut Simulation, entries: usize, report: &mut String) {
    trial.sent.clear();
    let span = 30;
    let start = Instant::now();
    trial.run(SECOND * span);
    let spent = start.elapsed().as_secs_f64() / f64::from(span) / entries as f64;
    let _ = writeln!(
        report,
        "  steady: {:.0} B/s, {:.4}% of a core with the fleet, renewals, codec and fake network",
        rate(trial, span),
        spent * 100.0
    );
}

/// A tenth of the upstreams drain at once.
fn drains(trial: &mut Simulation, upstreams: usize, report: &mut String) {
    trial.sent.clear();
    let drained: Vec<usize> = (0..upstreams).step_by(10).collect();
    drained.iter().for_each(|index| drain(trial, *index));
    let done = |trial: &Simulation| {
        let gone =
            |registry: &Registry| registry.usable(trial.now()).count() == upstreams - drained.len();
        trial.registries.values().all(gone)
    };
    let span = settle(trial, done);
    let _ = writeln!(
        report,
        "  {} drain at once: {span} until no entry uses any; {:.0} B a node",
        drained.len(),
        rate(trial, 1)
    );
}

fn one_drain(trial: &mut Simulation, upstreams: usize, report: &mut String) {
    trial.sent.clear();
    let index = upstreams / 10 * 10 - 1;
    let upstream = Simulation::announcement(index).upstream;
    drain(trial, index);
    let span = settle(trial, |trial| trial.users(&upstream).is_empty());
    let _ = writeln!(report, "  one drains: {span} until no entry uses it");
}

/// The entry that keeps an upstream's lease dies.
fn home(trial: &mut Simulation, upstreams: usize, report: &mut String) {
    let upstream = Simulation::announcement(upstreams / 10 * 10 - 2).upstream;
    let home = trial.registries.values().next().and_then(|r| r.get(&upstream)?.home.clone());
    let Some(home) = home else { return };
    let kept = trial.registries.values().next().map_or(0, |registry| {
        registry.view().filter(|upstream| upstream.home.as_ref() == Some(&home)).count()
    });
    trial.kill(&home);
    trial.probes = 0;
    let mut least = usize::MAX;
    for _ in 0..80 {
        trial.run(SECOND / 4);
        least = least.min(trial.users(&upstream).len());
    }
    let _ = writeln!(
        report,
        "  home of {kept} dies: {least} of {} entries go on using one of them throughout, {} probes",
        trial.registries.len(),
        trial.probes
    );
}

fn drain(trial: &mut Simulation, index: usize) {
    let announcement = Announcement { state: State::Draining, ..Simulation::announcement(index) };
    trial.announce(index % trial.registries.len(), announcement);
}

fn agrees(trial: &Simulation, upstreams: usize) -> bool {
    trial.registries.values().all(|registry| registry.view().count() == upstreams)
}

fn settle(trial: &mut Simulation, done: impl Fn(&Simulation) -> bool) -> String {
    let start = trial.now();
    while trial.now() < start + SECOND * 120 {
        if done(trial) {
            return format!("{:.1} s", (trial.now() - start).as_secs_f64());
        }
        trial.run(SECOND / 10);
    }
    "more than 120 s".into()
}

fn rate(trial: &Simulation, seconds: u32) -> f64 {
    let total = trial.sent.values().sum::<u64>() as f64;
    total / f64::from(seconds) / trial.registries.len() as f64
}

/// Resident memory of this process in bytes; 0 where the system doesn't tell.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}
