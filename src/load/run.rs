use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use async_std::task;
use indicatif::ProgressBar;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Error;
use super::Kind;
use super::Plan;
use super::Report;
use super::Sample;
use super::caller::Caller;
use super::caller::Spec;
use super::plan::Arrival;

/// Runs a load to its end and reports its outcomes. Caller names and idempotency keys start with
/// `tag`, so that two loads on the same upstreams don't share keys.
pub async fn run(plan: &Plan, tag: &str, progress: &ProgressBar) -> Result<Report, Error> {
    if plan.entries.is_empty() {
        return Err(Error::NoEntry);
    }
    let arrivals = plan.arrivals()?;
    progress.set_length(arrivals.len() as u64);
    let callers: Vec<Arc<Caller>> =
        (0..plan.callers).map(|index| new_caller(plan, tag, index)).collect();
    let samples = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let started = Instant::now();
    let mut tasks = Vec::with_capacity(arrivals.len());
    for (index, arrival) in arrivals.into_iter().enumerate() {
        if let Some(wait) = arrival.at.checked_sub(started.elapsed()) {
            task::sleep(wait).await;
        }
        let job = Job {
            started,
            caller: Arc::clone(&callers[arrival.caller]),
            identity: format!("{tag}-{index}").into(),
            kind: plan.kinds[arrival.kind].clone(),
            plan: plan.clone(),
            seed: plan.seed.wrapping_add(index as u64),
            arrival,
        };
        let samples = Arc::clone(&samples);
        let progress = progress.clone();
        tasks.push(task::spawn(async move {
            let sample = job.send().await;
            samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
            progress.inc(1);
        }));
    }
    futures::future::join_all(tasks).await;
    let samples = std::mem::take(&mut *samples.lock().unwrap_or_else(PoisonError::into_inner));
    Report::new(plan.kinds.clone(), samples)
}

struct Job {
    started: Instant,
    caller: Arc<Caller>,
    identity: compact_str::CompactString,
    kind: Kind,
    plan: Plan,
    seed: u64,
    arrival: Arrival,
}

impl Job {
    async fn send(self) -> Sample {
        let mut upload = vec![0; self.kind.up];
        ChaCha8Rng::seed_from_u64(self.seed).fill_bytes(&mut upload);
        let spec = Spec {
            budget: self.plan.budget,
            identity: self.identity,
            kind: &self.kind,
            resend: self.plan.resend,
            upload,
        };
        let (outcome, attempts) = self.caller.send(&spec).await;
        Sample {
            attempts,
            key: self.kind.keyed.then_some(spec.identity),
            kind: self.arrival.kind,
            latency: self.started.elapsed().saturating_sub(self.arrival.at),
            start: self.arrival.at,
            outcome,
        }
    }
}

fn new_caller(plan: &Plan, tag: &str, index: usize) -> Arc<Caller> {
    let mut entries = plan.entries.clone();
    let count = entries.len();
    entries.rotate_left(index % count);
    Arc::new(Caller::new(&format!("{tag}-caller-{index}"), entries, plan.directory))
}
