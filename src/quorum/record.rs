//! Records that a replica keeps on its disk.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::entry::Entry;
use super::membership::DiskId;
use super::membership::Membership;
use super::snapshot::Snapshot;
use crate::id::NodeId;
use crate::id::Term;

/// Identity of a data folder; its first record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Identity of the folder.
    pub disk: DiskId,
    /// Membership at index 0; empty for a folder that joins a running group.
    pub founders: Membership,
}

/// Record on disk. Records take effect in the order in which they were written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Current term and the vote given in it.
    Ballot {
        /// Current term.
        term: Term,
        /// Candidate that this replica voted for in `term`.
        vote: Option<NodeId>,
    },
    /// Entry; replaces all earlier records of entries at its index or after it.
    Entry(Entry),
    /// Identity of this folder.
    Identity(Identity),
    /// Snapshot; replaces the entries up to its index, and also those after it unless
    /// the entry at its index has the same term.
    Snapshot(Arc<Snapshot>),
}
