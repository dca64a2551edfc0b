//! What a replica keeps on its disk.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::entry::Entry;
use super::membership::DiskId;
use super::membership::Membership;
use super::snapshot::Snapshot;
use crate::id::NodeId;
use crate::id::Term;

/// Who a data folder is; its first record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Identity of the folder.
    pub disk: DiskId,
    /// Members at position 0; empty for a folder that joins a running group.
    pub founders: Membership,
}

/// One durable fact. Records take effect in the order in which they were written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Current term and the vote given in it.
    Ballot {
        /// Current term.
        term: Term,
        /// Candidate that has this replica's vote in `term`.
        vote: Option<NodeId>,
    },
    /// Entry; any entry at its position or after it is void.
    Entry(Entry),
    /// Who this folder is.
    Identity(Identity),
    /// Snapshot; entries up to its position are void, and so are the later ones
    /// unless the entry at its position has its term.
    Snapshot(Arc<Snapshot>),
}
