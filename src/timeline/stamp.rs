//! A point in the causal order of all processes.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;

/// Reading of a hybrid logical clock; ordered by time first, then by counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// Highest wall-clock time known to the process, in microseconds since the Unix epoch.
    pub micros: u64,
    /// Orders events that share `micros`.
    pub counter: u32,
}

impl Stamp {
    /// Wall-clock part of the stamp.
    pub fn wall(&self) -> Epoch {
        Duration::from_micros(self.micros)
    }
}
