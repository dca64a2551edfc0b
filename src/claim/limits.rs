//! Limits of the ledger.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Limits of the ledger. They are part of the replicated state, so that all replicas
/// decide alike.
///
/// In a ledger of 100,000 keys, a key takes 580 bytes in addition to its answer. Of a
/// control VM's 128 MB, the defaults take about 35 MB for keys, 9 MB for answers, and
/// 17 MB while a snapshot is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Most bytes of kept answers. Above it the oldest answers are dropped, but not their
    /// outcomes.
    pub answer_bytes: usize,
    /// Most stored keys. Above it new ones are refused, since a key that is removed early
    /// could run twice.
    pub claims: usize,
    /// Most stored keys of one caller, so that a caller that generates keys in a loop takes
    /// no space from others.
    pub claims_per_caller: usize,
    /// Time for which an abandoned claim's id is stored; far longer than any message
    /// between processes is delayed.
    pub tombstone_age: Duration,
    /// Most ids of abandoned claims that are stored.
    pub tombstones: usize,
    /// Time for which a key is stored after its request has ended.
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
