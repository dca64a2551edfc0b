//! An entry's question.

use serde::Deserialize;
use serde::Serialize;

use super::Entry;
use super::Tallies;
use crate::id::Index;

/// An entry's question: what is new?
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// The entry itself.
    pub entry: Entry,
    /// Index of the log that it knows everything up to.
    pub known: Index,
    /// Digest of the entries that it tells callers of.
    pub named: u64,
    /// Counts the questions.
    pub sequence: u64,
    /// What callers received of upstreams since the last question.
    pub tallies: Tallies,
}
