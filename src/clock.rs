//! Time as decision modules see it: a value handed in, never read.

use std::time::Duration;

/// Monotonic time since the start of the process (or of a test's virtual clock).
pub type Moment = Duration;

/// Wall-clock time since the Unix epoch; only for windows that outlive a process.
pub type Epoch = Duration;
