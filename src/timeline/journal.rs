//! One process's clock and recorder in one place.

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

/// Stamps and records the events of one process, from any of its threads.
///
/// The lock is held for a comparison and an addition, never over a write.
pub struct Journal {
    clock: Mutex<Clock>,
    recorder: Arc<dyn Recorder>,
    vm: NodeId,
}

impl Journal {
    /// Journal of process `vm`.
    pub fn new(vm: NodeId, recorder: Arc<dyn Recorder>) -> Self {
        Self { clock: Mutex::new(Clock::new()), recorder, vm }
    }

    /// Takes note of the stamp on a received message.
    pub fn observe(&self, stamp: Stamp, wall: Epoch) -> bool {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).observe(stamp, wall)
    }

    /// Records an event of `kind`, to which `fill` adds ids and details.
    pub fn record(&self, wall: Epoch, kind: Kind, fill: impl FnOnce(Event) -> Event) {
        let event = Event::new(self.stamp(wall), self.vm.clone(), kind);
        self.recorder.record(fill(event));
    }

    /// Stamp for a message about to be sent.
    pub fn stamp(&self, wall: Epoch) -> Stamp {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner).tick(wall)
    }
}
