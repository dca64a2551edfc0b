//! What a leader knows of the others.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::membership::DiskId;
use super::snapshot::Snapshot;
use crate::clock::Moment;
use crate::id::Index;
use crate::id::NodeId;

/// Snapshot on its way to one member.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) offset: u64,
    pub(super) sent_at: Moment,
    pub(super) snapshot: Arc<Snapshot>,
}

/// What a leader knows of one other member.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) disk: DiskId,
    pub(super) heard: Option<Moment>,
    pub(super) matched: Index,
    pub(super) next: Index,
    /// Since a mismatch nothing was acknowledged: one message at a time, for all
    /// that are sent ahead would be refused too.
    pub(super) probing: bool,
    pub(super) round: u64,
    pub(super) transfer: Option<Transfer>,
    /// Last position that is answered: entries after it are under way.
    pub(super) window_start: Index,
}

impl Progress {
    pub(super) fn new(disk: DiskId, next: Index) -> Self {
        Self {
            disk,
            heard: None,
            matched: 0,
            next,
            probing: true,
            round: 0,
            transfer: None,
            window_start: next - 1,
        }
    }
}

/// Read that waits for a majority to confirm the leader.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) index: Index,
    pub(super) round: u64,
    pub(super) ticket: u64,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Lead {
    /// Position of this leader's blank entry.
    pub(super) first: Index,
    pub(super) heartbeat_at: Moment,
    /// Commit index at the last heartbeat, and at the one before.
    pub(super) marks: (Index, Index),
    pub(super) members: BTreeMap<NodeId, Progress>,
    pub(super) pending: usize,
    pub(super) reads: Vec<Read>,
    pub(super) round: u64,
    pub(super) since: Moment,
    pub(super) tickets: BTreeMap<Index, u64>,
}
