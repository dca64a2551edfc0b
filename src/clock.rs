//! Types of time. Decision modules receive the time as a value and never read a clock.

use std::time::Duration;

/// Monotonic time since the start of the process, or of a test's virtual clock.
pub type Moment = Duration;

/// Wall-clock time since the Unix epoch, only for periods that outlive a process.
pub type Epoch = Duration;

/// Time of a machine that several threads drive. One of them may have read the clock before
/// another that got to the machine first; for the machine, time does not go back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Advancing(Moment);

impl Advancing {
    /// Advances to `now`, unless it is later already, and returns the time.
    pub fn advance(&mut self, now: Moment) -> Moment {
        self.0 = self.0.max(now);
        self.0
    }

    /// The time.
    pub fn now(&self) -> Moment {
        self.0
    }
}
