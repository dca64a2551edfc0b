//! Hybrid logical clock of one process.

use std::time::Duration;

use crate::clock::Epoch;
use crate::timeline::Stamp;

/// Hands out stamps that grow, and that exceed every stamp observed.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Farthest that an observed stamp may be ahead of the own wall clock.
    ///
    /// A VM that believes in next year would drag all stamps there, and times on
    /// the page would mean nothing until then. An hour is far above the seconds by
    /// which VMs differ; a stamp beyond it is ignored.
    pub const AHEAD_MAX: Duration = Duration::from_secs(3600);

    /// Clock that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of the stamp on a received message; the next tick exceeds it.
    ///
    /// Returns `false` and changes nothing where the stamp is too far ahead.
    pub fn observe(&mut self, stamp: Stamp, wall: Epoch) -> bool {
        if stamp.wall() > wall + Self::AHEAD_MAX {
            return false;
        }
        self.last = self.last.max(stamp);
        true
    }

    /// Stamp of an event that happens at `wall`, higher than all before.
    pub fn tick(&mut self, wall: Epoch) -> Stamp {
        let micros = u64::try_from(wall.as_micros()).unwrap_or(u64::MAX);
        self.last = if micros > self.last.micros {
            Stamp { micros, counter: 0 }
        } else {
            Self::after(self.last)
        };
        self.last
    }

    fn after(stamp: Stamp) -> Stamp {
        match stamp.counter.checked_add(1) {
            Some(counter) => Stamp { counter, ..stamp },
            None => Stamp { micros: stamp.micros.saturating_add(1), counter: 0 },
        }
    }
}
