//! State of a leader, with the replication progress of every other member.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::membership::DiskId;
use super::snapshot::Snapshot;
use crate::clock::Moment;
use crate::id::Index;
use crate::id::NodeId;

/// Snapshot that is being sent to one member.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) offset: u64,
    pub(super) sent_at: Moment,
    pub(super) snapshot: Arc<Snapshot>,
}

/// Replication progress of one other member.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) disk: DiskId,
    pub(super) heard: Option<Moment>,
    pub(super) match_index: Index,
    pub(super) next_index: Index,
    /// No append was acknowledged since the start or the last mismatch. Only one
    /// message is sent at a time, since later ones would be refused as well.
    pub(super) is_probing: bool,
    pub(super) round: u64,
    pub(super) transfer: Option<Transfer>,
    /// Last index that was answered; entries after it are in flight.
    pub(super) window_start: Index,
}

impl Progress {
    pub(super) fn new(disk: DiskId, next_index: Index) -> Self {
        Self {
            disk,
            heard: None,
            match_index: 0,
            next_index,
            is_probing: true,
            round: 0,
            transfer: None,
            window_start: next_index - 1,
        }
    }
}

/// Read that waits until a majority confirms the leader.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) index: Index,
    pub(super) round: u64,
    pub(super) ticket: u64,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the no-op entry that starts this leader's term.
    pub(super) first_index: Index,
    pub(super) heartbeat_at: Moment,
    /// Commit index at the last heartbeat, and at the one before.
    pub(super) heartbeat_commits: (Index, Index),
    pub(super) members: BTreeMap<NodeId, Progress>,
    pub(super) pending_bytes: usize,
    pub(super) reads: Vec<Read>,
    pub(super) round: u64,
    pub(super) elected_at: Moment,
    pub(super) tickets: BTreeMap<Index, u64>,
}
