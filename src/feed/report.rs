//! Entries that poll a control.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;

/// Entries that poll a control, as it reports them to the other controls.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Descriptions of the entries.
    pub entries: Vec<Entry>,
}
