//! Poll of an entry.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use super::Selection;
use super::Tallies;
use crate::config::Head;
use crate::id::Index;
use crate::poison;

/// Request of an entry for all changes since a log index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// Version that the entry holds; `None` if it needs the whole document.
    pub configuration: Option<Head>,
    /// Description of the entry.
    pub entry: Entry,
    /// Whether the entry is receiving a change of the configuration and needs no offer.
    pub is_downloading: bool,
    /// Log index up to which the entry knows all changes to upstreams.
    pub known: Index,
    /// Log index that the control had applied when the entry began to load the upstreams that it
    /// follows; `None` if it has loaded them.
    pub loading: Option<Index>,
    /// Digest of the entries that it advertises to callers.
    pub named: u64,
    /// Quarantined requests that it knows.
    pub quarantine: poison::Report,
    /// Upstreams that the entry follows.
    pub selection: Selection,
    /// Sequence number of the poll.
    pub sequence: u64,
    /// Results that callers received since the last poll.
    pub tallies: Tallies,
}
