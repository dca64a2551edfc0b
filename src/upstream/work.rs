use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use compact_str::CompactString;

/// Slots, the queue before them, and the count of what ran.
#[derive(Debug)]
pub(super) struct Work {
    counts: Mutex<Counts>,
    free: Receiver<()>,
    give: Sender<()>,
    queue: usize,
    slots: usize,
}

/// What a stand-in has done.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Counts {
    /// Requests begun.
    pub begun: u64,
    /// Requests in work or waiting.
    pub present: usize,
    /// Runs by idempotency key.
    pub runs: BTreeMap<CompactString, u32>,
    /// Requests refused unrun.
    pub shed: u64,
}

/// A slot in use, or a place in the queue; given back when dropped, also by a caller
/// that goes away.
pub(super) struct Place<'a> {
    has_slot: bool,
    work: &'a Work,
}

impl Work {
    pub(super) fn new(slots: usize, queue: usize) -> Self {
        let (give, free) = async_std::channel::bounded(slots.max(1));
        for _ in 0..slots {
            give.try_send(()).ok();
        }
        Self { counts: Mutex::default(), free, give, queue, slots: slots.max(1) }
    }

    /// A place, unless the queue is full or the wait would outlast `budget`.
    pub(super) fn enter(&self, each: Duration, budget: Option<Duration>) -> Option<Place<'_>> {
        let mut counts = self.counts();
        let ahead = (counts.present + 1).saturating_sub(self.slots);
        let wait = each * u32::try_from(ahead.div_ceil(self.slots) + 1).unwrap_or(u32::MAX);
        if ahead > self.queue || budget.is_some_and(|budget| wait > budget) {
            counts.shed += 1;
            return None;
        }
        counts.present += 1;
        Some(Place { has_slot: false, work: self })
    }

    /// Requests present a slot.
    pub(super) fn load(&self) -> f64 {
        self.counts().present as f64 / self.slots as f64
    }

    pub(super) fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Waits for a slot and works; what is cancelled while it waits does not run.
    pub(super) async fn run(&mut self, each: Duration, key: Option<CompactString>) {
        let waited = Instant::now();
        self.work.free.recv().await.ok();
        self.has_slot = true;
        {
            let mut counts = self.work.counts();
            counts.begun += 1;
            if let Some(key) = key {
                *counts.runs.entry(key).or_default() += 1;
            }
        }
        tracing::trace!(target: "upstream", "waited {:?} for a slot", waited.elapsed());
        async_std::task::sleep(each).await;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.has_slot {
            self.work.give.try_send(()).ok();
        }
        self.work.counts().present -= 1;
    }
}
