//! Types of time. Decision modules receive the time as a value and never read a clock.

use std::time::Duration;

/// Monotonic time since the start of the process, or of a test's virtual clock.
pub type Moment = Duration;

/// Wall-clock time since the Unix epoch, only for periods that outlive a process.
pub type Epoch = Duration;
