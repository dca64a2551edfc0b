//! Entries that poll a control.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;

/// Entries that poll a control, as it reports them to the other controls.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Digest of the entries.
    pub digest: u64,
    /// Descriptions of the entries; `None` if they are the same as in the report before. A control
    /// that missed that one asks for them.
    pub entries: Option<Vec<Entry>>,
}
