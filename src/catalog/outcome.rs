//! What an event about an upstream does to the table.

use serde::Deserialize;
use serde::Serialize;

use crate::registry::Life;

/// What an event about an upstream does to the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It changes the table.
    Changed,
    /// The table says so already.
    Kept,
    /// The table holds a newer event, which is named. Nothing changes, and the sender must not take
    /// the event for accepted.
    Stale(Life),
}

impl Outcome {
    /// Whether the table changes.
    pub fn is_changed(self) -> bool {
        self == Self::Changed
    }
}
