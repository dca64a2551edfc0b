//! How a replica starts.

use std::time::Duration;

use super::membership::Membership;
use crate::id::NodeId;

/// Deliberate fault, only for the proof that the model test finds it. A process
/// never sets one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A follower takes entries without comparing the position before them.
    BlindAppend,
    /// A leader commits entries of older terms by counting copies.
    OldTermCommit,
    /// A leader answers reads without hearing from a majority.
    UncheckedRead,
}

/// Bounds on memory and messages.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of entries in one message.
    pub batch: usize,
    /// Bytes of a snapshot in one message.
    pub chunk: usize,
    /// Entries kept at most in memory behind a snapshot, so that a follower that is only
    /// a little late gets entries in place of a whole snapshot.
    pub kept: u64,
    /// Bytes of those entries at most; whole configurations are large.
    pub kept_bytes: usize,
    /// Bytes of entries a leader holds uncommitted before it refuses more.
    pub pending: usize,
    /// Entries sent to one follower ahead of its acknowledgement.
    pub window: u64,
}

impl Default for Limits {
    /// 64 KiB messages pass a link in well under a heartbeat at 10 Mbit/s; the
    /// window is two round trips of 5 ms at 100,000 entries a second; 4 MiB are
    /// a thirtieth of the 128 MB that control may use.
    fn default() -> Self {
        Self {
            batch: 64 << 10,
            chunk: 64 << 10,
            kept: 1024,
            kept_bytes: 4 << 20,
            pending: 4 << 20,
            window: 1024,
        }
    }
}

/// How a replica starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Fault of the model test's own proof; `None` in every process.
    pub fault: Option<Fault>,
    /// Founding members. Set it once, by an explicit command, on the empty
    /// folders of the first members; `None` ever after. A member that lost its
    /// disk and was founded again would forget its votes.
    pub founders: Option<Membership>,
    /// Bounds on memory and messages.
    pub limits: Limits,
    /// This replica's name.
    pub me: NodeId,
    /// Intervals.
    pub timing: Timing,
}

impl Setup {
    /// Setup of a member that was not founded here.
    pub fn new(me: NodeId) -> Self {
        Self {
            fault: None,
            founders: None,
            limits: Limits::default(),
            me,
            timing: Timing::default(),
        }
    }
}

/// Intervals of a group; the same for all its members.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Silence after which a follower may stand; each waits between one and two
    /// of these, drawn anew every time.
    pub election: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
}

impl Default for Timing {
    /// Four heartbeats fit into the shortest election timeout, so that one lost
    /// message deposes nobody; a failover takes 1 to 2 s of the 13 s in which a
    /// configuration must be in force; seven members cost a leader 24 small
    /// messages a second.
    fn default() -> Self {
        Self { election: Duration::from_secs(1), heartbeat: Duration::from_millis(250) }
    }
}
