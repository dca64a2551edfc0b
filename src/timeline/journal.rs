//! Combines the clock and the recorder of one process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::clock::Epoch;
use crate::id::NodeId;
use crate::timeline::Clock;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Recorder;
use crate::timeline::Stamp;

/// Stamps and records the events of one process. It can be shared between threads.
///
/// The lock on the clock is held for a comparison and an addition only, never while an event is
/// recorded.
pub struct Journal {
    clock: Mutex<Clock>,
    recorder: Arc<dyn Recorder>,
    vm: NodeId,
}

impl Journal {
    /// Creates the journal of process `vm`.
    pub fn new(vm: NodeId, recorder: Arc<dyn Recorder>) -> Self {
        Self { clock: Mutex::new(Clock::new()), recorder, vm }
    }

    /// Observes the stamp of a received message, as [`Clock::observe`] does.
    pub fn observe(&self, stamp: Stamp, wall: Epoch) -> bool {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).observe(stamp, wall)
    }

    /// Records an event of `kind`, to which `build` adds ids and details.
    pub fn record(&self, wall: Epoch, kind: Kind, build: impl FnOnce(Event) -> Event) {
        let event = Event::new(self.stamp(wall), self.vm.clone(), kind);
        self.recorder.record(build(event));
    }

    /// Issues the stamp of an event, or of a message that is about to be sent.
    pub fn stamp(&self, wall: Epoch) -> Stamp {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).tick(wall)
    }
}
