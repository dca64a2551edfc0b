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
use super::caller::Ask;
use super::caller::Caller;
use super::plan::Start;

/// Runs a load to its end and tells what callers received. Entries and upstreams are
/// told apart by `tag`, so that two loads on the same upstreams don't share keys.
pub async fn run(plan: &Plan, tag: &str, progress: &ProgressBar) -> Result<Report, Error> {
    if plan.entries.is_empty() {
        return Err(Error::NoEntry);
    }
    let starts = plan.starts()?;
    progress.set_length(starts.len() as u64);
    let callers: Vec<Arc<Caller>> = (0..plan.callers).map(|at| caller(plan, tag, at)).collect();
    let samples = Arc::new(Mutex::new(Vec::with_capacity(starts.len())));
    let began = Instant::now();
    let mut tasks = Vec::with_capacity(starts.len());
    for (at, start) in starts.into_iter().enumerate() {
        if let Some(wait) = start.at.checked_sub(began.elapsed()) {
            task::sleep(wait).await;
        }
        let request = One {
            began,
            caller: Arc::clone(&callers[start.caller]),
            identity: format!("{tag}-{at}").into(),
            kind: plan.kinds[start.kind].clone(),
            plan: plan.clone(),
            seed: plan.seed.wrapping_add(at as u64),
            start,
        };
        let samples = Arc::clone(&samples);
        let progress = progress.clone();
        tasks.push(task::spawn(async move {
            let sample = request.send().await;
            samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
            progress.inc(1);
        }));
    }
    futures::future::join_all(tasks).await;
    let samples = std::mem::take(&mut *samples.lock().unwrap_or_else(PoisonError::into_inner));
    Report::new(plan.kinds.clone(), samples)
}

struct One {
    began: Instant,
    caller: Arc<Caller>,
    identity: compact_str::CompactString,
    kind: Kind,
    plan: Plan,
    seed: u64,
    start: Start,
}

impl One {
    async fn send(self) -> Sample {
        let mut upload = vec![0; self.kind.up];
        ChaCha8Rng::seed_from_u64(self.seed).fill_bytes(&mut upload);
        let ask = Ask {
            budget: self.plan.budget,
            identity: self.identity,
            kind: &self.kind,
            resend: self.plan.resend,
            upload,
        };
        let (told, attempts) = self.caller.send(&ask).await;
        Sample {
            attempts,
            key: self.kind.keyed.then_some(ask.identity),
            kind: self.start.kind,
            latency: self.began.elapsed().saturating_sub(self.start.at),
            start: self.start.at,
            told,
        }
    }
}

fn caller(plan: &Plan, tag: &str, at: usize) -> Arc<Caller> {
    let mut entries = plan.entries.clone();
    let count = entries.len();
    entries.rotate_left(at % count);
    Arc::new(Caller::new(&format!("{tag}-caller-{at}"), entries, plan.directory))
}
