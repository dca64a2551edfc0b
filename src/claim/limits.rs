//! Bounds of the ledger.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Bounds of the ledger; part of the replicated state, so that all replicas
/// decide alike.
///
/// A key takes 580 bytes besides its answer (measured with 100,000 of them), so
/// the defaults take about 35 MB, 9 MB of answers, and 17 MB while a snapshot is
/// written, of a control VM's 128 MB.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Bytes of kept answers; above it the oldest lose theirs, but not their
    /// outcome.
    pub answer_bytes: usize,
    /// Keys remembered; above it new ones are refused, since to forget one early
    /// would let it run twice.
    pub claims: usize,
    /// Keys that one caller may hold, so that a caller that makes up keys in a
    /// loop crowds out itself only.
    pub claims_per_caller: usize,
    /// Time that an abandoned claim's id is remembered; far above the age of any
    /// message between our processes.
    pub tombstone_age: Duration,
    /// Abandoned claims remembered.
    pub tombstones: usize,
    /// Time that a key is remembered after its request has come to an end.
    pub window: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            answer_bytes: 8 << 20,
            claims: 60_000,
            claims_per_caller: 12_000,
            tombstone_age: Duration::from_secs(3600),
            tombstones: 20_000,
            window: Duration::from_secs(24 * 3600),
        }
    }
}
