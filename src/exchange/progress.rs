//! How far a body has been read.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// How far a body has been read; shared by its reader and those who wait for its end.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<State>);

#[derive(Debug, Default)]
struct State {
    is_broken: AtomicBool,
    is_complete: AtomicBool,
    received: AtomicU64,
    sent: AtomicU64,
}

impl Progress {
    /// Progress of a message without a body.
    pub(super) fn completed() -> Self {
        let progress = Self::default();
        progress.complete();
        progress
    }

    /// Whether reading the body has failed.
    pub fn is_broken(&self) -> bool {
        self.0.is_broken.load(Ordering::Acquire)
    }

    /// Whether the body has been read to its end.
    pub fn is_complete(&self) -> bool {
        self.0.is_complete.load(Ordering::Acquire)
    }

    /// Bytes of the body that were read, without those of its framing.
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Bytes of the body that were sent on.
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }

    pub(super) fn add_received(&self, count: u64) {
        self.0.received.fetch_add(count, Ordering::Relaxed);
    }

    pub(super) fn add_sent(&self, count: u64) {
        self.0.sent.fetch_add(count, Ordering::Relaxed);
    }

    pub(super) fn set_sent(&self, count: u64) {
        self.0.sent.store(count, Ordering::Relaxed);
    }

    pub(super) fn break_off(&self) {
        self.0.is_broken.store(true, Ordering::Release);
    }

    pub(super) fn complete(&self) {
        self.0.is_complete.store(true, Ordering::Release);
    }
}
