//! Poll of an entry.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use super::Tallies;
use crate::id::Index;

/// Request of an entry for all changes since a log index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// Description of the entry.
    pub entry: Entry,
    /// Log index up to which the entry knows everything.
    pub known: Index,
    /// Digest of the entries that it advertises to callers.
    pub named: u64,
    /// Sequence number of the poll.
    pub sequence: u64,
    /// Results that callers received since the last poll.
    pub tallies: Tallies,
}
