//! Memory for bodies that are received whole before they are sent on.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Memory for bodies that are received whole, shared by all requests of a process. Without a bound,
/// many callers that send slowly would fill the memory of a VM.
#[derive(Clone, Debug)]
pub struct Memory(Arc<AtomicU64>);

impl Memory {
    /// Creates a memory of `size` bytes.
    pub fn new(size: u64) -> Self {
        Self(Arc::new(AtomicU64::new(size)))
    }

    /// Bytes that are free.
    pub fn free(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Takes no bytes yet.
    pub(super) fn share(&self) -> Share {
        Share { memory: self.clone(), size: 0 }
    }

    fn try_take(&self, size: u64) -> bool {
        let take = |free: u64| free.checked_sub(size);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// Bytes taken from a memory, given back when dropped.
#[derive(Debug)]
pub(super) struct Share {
    memory: Memory,
    size: u64,
}

impl Share {
    /// Takes `size` bytes more; false if they are not free.
    pub(super) fn try_grow(&mut self, size: u64) -> bool {
        let is_taken = self.memory.try_take(size);
        if is_taken {
            self.size += size;
        }
        is_taken
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.0.fetch_add(self.size, Ordering::Relaxed);
    }
}
