//! Status of a replica for operators.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::membership::DiskId;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// Role of a replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Not a member with its current data folder; waits to be added.
    Blank,
    /// Asks for pre-votes or votes.
    Candidate,
    /// Follows a leader and votes.
    Follower,
    /// Leads.
    Leader,
    /// Receives entries but has no vote.
    Learner,
}

/// Member as the leader sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity of its data folder.
    pub disk: DiskId,
    /// Time since it was last heard; `None` if never by this leader. Zero for the
    /// replica itself.
    pub heard: Option<Duration>,
    /// Number of entries by which it is behind the last one.
    pub lag: u64,
    /// Last index it has synced.
    pub matched: Index,
    /// Name of its VM.
    pub node: NodeId,
    /// Not heard for an election timeout.
    pub silent: bool,
    /// Heard recently, and has synced everything committed one heartbeat ago.
    pub up_to_date: bool,
    /// Whether its votes and acknowledgements count.
    pub voter: bool,
}

/// Status of a replica for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Commit index.
    pub commit: Index,
    /// Bytes of the entries in memory.
    pub entries: usize,
    /// Identity of the data folder; `None` until it is synced.
    pub disk: Option<DiskId>,
    /// Last index in the log.
    pub last: Index,
    /// Current leader, where known.
    pub leader: Option<NodeId>,
    /// Members; only the leader knows the progress of the others.
    pub members: Vec<Member>,
    /// Role of this replica.
    pub role: Role,
    /// Last index its snapshot covers.
    pub snapshot: Index,
    /// Current term.
    pub term: Term,
    /// Whether the loss of any one more VM and its disk would leave a majority that
    /// holds everything committed. Always `false` unless this replica leads.
    pub tolerates_one_more_loss: bool,
}
