//! Destinations of events.

use std::sync::Mutex;
use std::sync::PoisonError;

use crate::timeline::Event;

/// Records events without blocking on a disk.
pub trait Recorder: Send + Sync {
    /// Records one event.
    fn record(&self, event: Event);
}

/// Keeps events in memory, for tests.
#[derive(Debug, Default)]
pub struct MemoryRecorder {
    events: Mutex<Vec<Event>>,
}

impl MemoryRecorder {
    /// Events recorded so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Recorder for MemoryRecorder {
    fn record(&self, event: Event) {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }
}
