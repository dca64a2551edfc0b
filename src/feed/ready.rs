//! Entries that a control has heard from.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;

/// Entries that a control has heard from, told to the other controls.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ready {
    /// The entries.
    pub entries: Vec<Entry>,
}
