//! Timestamps of the hybrid logical clock.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;

/// Timestamp of a hybrid logical clock, ordered by time and then by counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// Highest wall-clock time known to the process, in microseconds since the Unix epoch.
    pub micros: u64,
    /// Orders stamps with equal `micros`.
    pub counter: u32,
}

impl Stamp {
    /// Wall-clock part of the stamp, as the time since the Unix epoch.
    pub fn wall(&self) -> Epoch {
        Duration::from_micros(self.micros)
    }
}
