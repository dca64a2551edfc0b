use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_std::channel::Receiver;
use async_std::channel::Sender;
use compact_str::CompactString;

/// Limits concurrent requests to the number of slots, queues a bounded number of further ones,
/// and counts runs.
#[derive(Debug)]
pub(super) struct Limiter {
    counts: Mutex<Counts>,
    slot_receiver: Receiver<()>,
    slot_sender: Sender<()>,
    queue: usize,
    slots: usize,
}

/// Request counts of a test upstream.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(super) struct Counts {
    /// Requests that started to run.
    pub begun: u64,
    /// Requests that are running or waiting.
    pub present: usize,
    /// Number of runs of each idempotency key.
    pub runs: BTreeMap<CompactString, u32>,
    /// Requests refused without being run.
    pub shed: u64,
}

/// Admission of one request, queued or with a slot. Dropping it releases both, also when the
/// caller disconnects.
pub(super) struct Permit<'a> {
    has_slot: bool,
    limiter: &'a Limiter,
}

impl Limiter {
    pub(super) fn new(slots: usize, queue: usize) -> Self {
        let (slot_sender, slot_receiver) = async_std::channel::bounded(slots.max(1));
        for _ in 0..slots {
            slot_sender.try_send(()).ok();
        }
        Self { counts: Mutex::default(), slot_receiver, slot_sender, queue, slots: slots.max(1) }
    }

    /// Admits a request, unless the queue is full or the expected time until it is finished
    /// exceeds `budget`.
    pub(super) fn admit(
        &self,
        processing_time: Duration,
        budget: Option<Duration>,
    ) -> Option<Permit<'_>> {
        let mut counts = self.counts();
        let ahead = (counts.present + 1).saturating_sub(self.slots);
        let wait =
            processing_time * u32::try_from(ahead.div_ceil(self.slots) + 1).unwrap_or(u32::MAX);
        if ahead > self.queue || budget.is_some_and(|budget| wait > budget) {
            counts.shed += 1;
            return None;
        }
        counts.present += 1;
        Some(Permit { has_slot: false, limiter: self })
    }

    /// Running and waiting requests per slot.
    pub(super) fn load(&self) -> f64 {
        self.counts().present as f64 / self.slots as f64
    }

    pub(super) fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Permit<'_> {
    /// Waits for a slot, counts the run and sleeps for `processing_time`. A request that is
    /// cancelled while it waits does not run.
    pub(super) async fn run(&mut self, processing_time: Duration, key: Option<CompactString>) {
        let wait_start = Instant::now();
        self.limiter.slot_receiver.recv().await.ok();
        self.has_slot = true;
        {
            let mut counts = self.limiter.counts();
            counts.begun += 1;
            if let Some(key) = key {
                *counts.runs.entry(key).or_default() += 1;
            }
        }
        tracing::trace!(target: "upstream", "waited {:?} for a slot", wait_start.elapsed());
        async_std::task::sleep(processing_time).await;
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if self.has_slot {
            self.limiter.slot_sender.try_send(()).ok();
        }
        self.limiter.counts().present -= 1;
    }
}
