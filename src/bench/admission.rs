//! What callers receive under each load pattern, through the gate with the
//! slots given, with the slots learned, and through a plain queue.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission::Disposition;
use crate::admission::Fifo;
use crate::admission::Gate;
use crate::admission::Input;
use crate::admission::Job;
use crate::admission::Pattern;
use crate::admission::Queue;
use crate::clock::Moment;

/// How the slots come to be known, or the plain queue.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Fifo,
    Given,
    Learned,
}

/// What the callers of all seeds received.
#[derive(Default)]
struct Received {
    answered: Vec<Duration>,
    callers: usize,
    late: usize,
    ran: usize,
    refused: Vec<Duration>,
}

/// Runs every pattern over `seeds` and gives a table of what those callers
/// received whom the pattern is about; `cost` is that of one input.
pub fn run(seeds: u64) -> String {
    let mut table = String::from(
        "pattern       queue    callers  answered  p50      p99      refused  p50      late  of \
         them ran  cost\n",
    );
    for pattern in Pattern::ALL {
        for kind in [Kind::Given, Kind::Learned, Kind::Fifo] {
            let _ = writeln!(table, "{}", row(pattern, kind, seeds));
        }
    }
    table += "\nslots  load  queue    answered  of what fits  p50      p99\n";
    for slots in [1, 2, 3, 30] {
        for load in [0.9, 3.0] {
            for kind in [Kind::Given, Kind::Learned, Kind::Fifo] {
                let _ = writeln!(table, "{}", even(slots, load, kind, seeds));
            }
        }
    }
    table
}

/// An even load on few or many slots, whose times vary by half.
fn even(slots: usize, load: f64, kind: Kind, seeds: u64) -> String {
    let mut received = Received::default();
    for seed in 0..seeds {
        let simulation = Pattern::steady(slots, load, seed);
        let dispositions = simulation.run(queue(kind, seed, slots).as_mut());
        dispositions.into_iter().for_each(|disposition| received.add(disposition));
    }
    received.answered.sort_unstable();
    let answered = received.answered.len() as f64 * 100.0;
    let fits = received.callers as f64 / load.max(1.0);
    format!(
        "{slots:<6} {load:<5} {:<8} {:<9} {:<13} {:<8} {}",
        format!("{kind:?}"),
        format!("{:.1}%", answered / received.callers as f64),
        format!("{:.1}%", answered / fits),
        at(&received.answered, 50),
        at(&received.answered, 99),
    )
}

fn row(pattern: Pattern, kind: Kind, seeds: u64) -> String {
    let mut received = Received::default();
    let mut inputs = 0;
    let mut spent = Duration::ZERO;
    for seed in 0..seeds {
        let simulation = pattern.simulation(seed);
        let mut queue = queue(kind, seed, simulation.slots);
        let started = Instant::now();
        let dispositions = simulation.run(queue.as_mut());
        spent += started.elapsed();
        inputs += simulation.jobs.len() * 2;
        for (job, disposition) in simulation.jobs.iter().zip(dispositions) {
            if concerns(pattern, job) {
                received.add(disposition);
            }
        }
    }
    received.answered.sort_unstable();
    received.refused.sort_unstable();
    let share = received.answered.len() as f64 * 100.0 / received.callers as f64;
    format!(
        "{:<13} {:<8} {:<8} {:<9} {:<8} {:<8} {:<8} {:<8} {:<5} {:<12} {:.1?}",
        format!("{pattern:?}"),
        format!("{kind:?}"),
        received.callers,
        format!("{share:.1}%"),
        at(&received.answered, 50),
        at(&received.answered, 99),
        received.refused.len(),
        at(&received.refused, 50),
        received.late,
        received.ran,
        spent / inputs.max(1) as u32,
    )
}

fn queue(kind: Kind, seed: u64, slots: usize) -> Box<dyn Queue> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gate = Gate::new(&Pattern::classes(), rng, Moment::ZERO);
    match kind {
        Kind::Fifo => return Box::new(Fifo::new(slots)),
        Kind::Given => drop(gate.handle(Moment::ZERO, Input::Capacity { slots: Some(slots) })),
        Kind::Learned => {}
    }
    Box::new(gate)
}

/// Whether `job` is one of those whom the pattern would harm.
fn concerns(pattern: Pattern, job: &Job) -> bool {
    let within =
        |from, until| job.at >= Duration::from_secs(from) && job.at < Duration::from_secs(until);
    match pattern {
        Pattern::Burst => within(2, 3),
        Pattern::HotCaller => job.caller != "hot",
        Pattern::HotKey => job.key.is_none(),
        Pattern::LongJobs => !job.long,
        Pattern::Overload => within(2, 12),
        Pattern::SlowUpstream => within(2, 6),
    }
}

fn at(times: &[Duration], percent: usize) -> String {
    match times.get(times.len().saturating_sub(1) * percent / 100) {
        Some(time) => format!("{}ms", time.as_millis()),
        None => "-".into(),
    }
}

impl Received {
    fn add(&mut self, disposition: Disposition) {
        self.callers += 1;
        match disposition {
            Disposition::Answered { after } => self.answered.push(after),
            Disposition::Late { ran } => {
                self.late += 1;
                self.ran += usize::from(ran);
            }
            Disposition::Refused { after, .. } => self.refused.push(after),
        }
    }
}
