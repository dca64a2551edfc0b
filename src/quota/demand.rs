use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Subject;
use crate::id::Incarnation;
use crate::id::NodeId;

/// The allocations that an entry demands.
///
/// The entry has already stopped using what it gives back. Sending it again is idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// How long this incarnation has run: the previous one ended before it began.
    pub age: Duration,
    /// The entry.
    pub holder: NodeId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// Whether the entry is leaving and will demand nothing more.
    pub is_leaving: bool,
    /// Allocations to change; all others stay as they are.
    pub items: Vec<Item>,
    /// Sequence number within this incarnation.
    pub sequence: u64,
}

/// The allocation of one allowance that an entry demands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The whole allowance, in requests within a window.
    pub most: u32,
    /// What the allowance is for.
    pub subject: Subject,
    /// The demanded allocation, in requests within a window.
    pub want: u32,
}
