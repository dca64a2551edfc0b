//! Hybrid logical clock of one process.

use std::time::Duration;

use crate::clock::Epoch;
use crate::timeline::Stamp;

/// Issues stamps that strictly increase and exceed every observed stamp.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Maximum time by which an observed stamp may be ahead of the local wall clock.
    ///
    /// Stamps further ahead are ignored. Otherwise one VM with its clock set to next year would
    /// move the stamps of all processes there, and their times would be wrong until then. An
    /// hour is far above the few seconds by which the clocks of VMs differ.
    pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(3600);

    /// Creates a clock that has observed no stamp.
    pub fn new() -> Self {
        Self::default()
    }

    /// Observes the stamp of a received message, so that the next tick exceeds it.
    ///
    /// Returns `false` and changes nothing when the stamp is more than
    /// [`Self::MAX_CLOCK_SKEW`] ahead of `wall`.
    pub fn observe(&mut self, stamp: Stamp, wall: Epoch) -> bool {
        if stamp.wall() > wall + Self::MAX_CLOCK_SKEW {
            return false;
        }
        self.last = self.last.max(stamp);
        true
    }

    /// Issues the stamp of an event that happens at `wall`, higher than all stamps issued or
    /// observed before.
    pub fn tick(&mut self, wall: Epoch) -> Stamp {
        let micros = u64::try_from(wall.as_micros()).unwrap_or(u64::MAX);
        self.last = if micros > self.last.micros {
            Stamp { micros, counter: 0 }
        } else {
            Self::successor(self.last)
        };
        self.last
    }

    fn successor(stamp: Stamp) -> Stamp {
        match stamp.counter.checked_add(1) {
            Some(counter) => Stamp { counter, ..stamp },
            None => Stamp { micros: stamp.micros.saturating_add(1), counter: 0 },
        }
    }
}
