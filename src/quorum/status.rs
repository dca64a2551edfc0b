//! What operators see of a replica.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::membership::DiskId;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// What a replica does at present.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Not a member under its data folder: it waits to be added.
    Blank,
    /// Stands for election.
    Candidate,
    /// Follows, and votes.
    Follower,
    /// Leads.
    Leader,
    /// Follows, and does not count.
    Learner,
}

/// One member as the leader sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity of its data folder.
    pub disk: DiskId,
    /// Time since it was last heard; `None` if never in this term. Zero for the
    /// leader itself.
    pub heard: Option<Duration>,
    /// Entries it is behind the leader's last one.
    pub lag: u64,
    /// Last position it has synced.
    pub matched: Index,
    /// Its name.
    pub node: NodeId,
    /// Not heard for an election timeout.
    pub silent: bool,
    /// Heard, and has synced all that was committed a heartbeat ago.
    pub up_to_date: bool,
    /// Whether its votes and acknowledgements count.
    pub voter: bool,
}

/// What operators see of a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Last committed position.
    pub commit: Index,
    /// Bytes of the entries in memory.
    pub entries: usize,
    /// Identity of the data folder; `None` until it is synced.
    pub disk: Option<DiskId>,
    /// Last position in the log.
    pub last: Index,
    /// Who leads, where known.
    pub leader: Option<NodeId>,
    /// Members; on others than the leader, without what only the leader knows.
    pub members: Vec<Member>,
    /// What it does.
    pub role: Role,
    /// Last position of its snapshot.
    pub snapshot: Index,
    /// Current term.
    pub term: Term,
    /// The verdict "repaired": a further loss of any one member's VM and disk
    /// would leave a majority that holds all that was committed. Only a leader
    /// ever says so.
    pub tolerates_one_more_loss: bool,
}
