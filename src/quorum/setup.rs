//! Parameters of a replica.

use std::time::Duration;

use super::membership::Membership;
use crate::id::NodeId;

/// Deliberate fault with which the model test proves that it detects violations. A
/// process never sets one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A follower appends entries without comparing the term at the previous index.
    BlindAppend,
    /// A leader commits entries of older terms by counting copies.
    OldTermCommit,
    /// A leader answers reads without confirmation by a majority.
    UncheckedRead,
}

/// Bounds on memory and messages.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of entries in one append; one larger entry is sent alone.
    pub batch_bytes: usize,
    /// Bytes of a snapshot in one chunk.
    pub chunk_bytes: usize,
    /// Bytes of entries that one input commits; one larger entry is committed alone.
    pub commit_bytes: usize,
    /// Most entries kept in memory that a snapshot already covers, so that a follower that
    /// is only slightly behind gets entries instead of a whole snapshot.
    pub kept_entries: u64,
    /// Most bytes of those entries, since whole configurations are large.
    pub kept_bytes: usize,
    /// Bytes of uncommitted entries above which a leader refuses proposals.
    pub pending_bytes: usize,
    /// Bytes of entries that a snapshot covers and that are kept for members that receive a
    /// snapshot. A member that needs more gets the next snapshot.
    pub transfer_bytes: usize,
    /// Bytes in flight to one follower above which the leader sends it no more.
    pub window_bytes: usize,
    /// Entries in flight to one follower above which the leader sends it no more.
    pub window_entries: u64,
}

impl Default for Limits {
    /// A message of 64 KiB passes a link of 10 Mbit/s in well under a heartbeat. The
    /// window covers two round trips of 5 ms at 100,000 entries a second. 4 MiB are a
    /// thirtieth of the 128 MB that a control VM may use.
    fn default() -> Self {
        Self {
            batch_bytes: 64 << 10,
            chunk_bytes: 64 << 10,
            commit_bytes: 4 << 20,
            kept_entries: 1024,
            kept_bytes: 4 << 20,
            pending_bytes: 4 << 20,
            transfer_bytes: 16 << 20,
            window_bytes: 1 << 20,
            window_entries: 1024,
        }
    }
}

/// Parameters of a replica.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Deliberate fault for the model test; `None` in every process.
    pub fault: Option<Fault>,
    /// Founding members. Set once, by an explicit command, on the empty folders of the
    /// first members, and `None` afterwards. A member that lost its disk and was founded
    /// again would have forgotten its votes.
    pub founders: Option<Membership>,
    /// Bounds on memory and messages.
    pub limits: Limits,
    /// Name of this replica's VM.
    pub id: NodeId,
    /// Intervals.
    pub timing: Timing,
}

impl Setup {
    /// Setup of a member that joins a running group or restarts.
    pub fn new(id: NodeId) -> Self {
        Self {
            fault: None,
            founders: None,
            limits: Limits::default(),
            id,
            timing: Timing::default(),
        }
    }
}

/// Intervals of a group; the same for all its members.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Shortest time without a leader after which a follower asks for pre-votes. Each
    /// wait is drawn at random between one and two of these.
    pub election: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
}

impl Default for Timing {
    /// Four heartbeats fit into the shortest election timeout, so that one lost message
    /// deposes no leader. A failover takes 1 to 2 s of the 13 s in which a configuration
    /// must be in force. With seven members a leader sends 24 small messages a second.
    fn default() -> Self {
        Self { election: Duration::from_secs(1), heartbeat: Duration::from_millis(250) }
    }
}
