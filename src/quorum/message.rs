//! What replicas say to each other.

use serde::Deserialize;
use serde::Serialize;

use super::entry::Entry;
use super::membership::DiskId;
use super::membership::Membership;
use crate::id::Index;
use crate::id::Term;

/// One message between two data folders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// What is said.
    pub body: Body,
    /// Data folder of the sender.
    pub disk: DiskId,
    /// Sender's term; in a pre-vote and its grant, the term it would stand in.
    pub term: Term,
    /// Data folder the message is meant for. A replica drops a message for a
    /// folder that it no longer has.
    pub to: DiskId,
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Entries after a known position; without entries, a heartbeat.
    Append {
        /// Leader's commit index.
        commit: Index,
        /// Entries, at consecutive positions after `prev_index`.
        entries: Vec<Entry>,
        /// Position before the first entry.
        prev_index: Index,
        /// Term at `prev_index`.
        prev_term: Term,
        /// Heartbeat round, echoed in the answer.
        round: u64,
    },
    /// The log equals the leader's up to here, synced.
    Appended {
        /// Last position known to be equal.
        matched: Index,
        /// Round of the append.
        round: u64,
    },
    /// Part of a snapshot.
    Chunk {
        /// Part, from `offset`.
        bytes: Vec<u8>,
        /// Last position the snapshot covers.
        index: Index,
        /// Term at `index`.
        index_term: Term,
        /// Membership at `index`.
        membership: Membership,
        /// Position of the part in the snapshot, in bytes.
        offset: u64,
        /// Heartbeat round, echoed in the answer.
        round: u64,
        /// Length of the whole snapshot, in bytes.
        total: u64,
    },
    /// Which part of a snapshot is wanted next.
    Chunked {
        /// Snapshot's last position.
        index: Index,
        /// Next wanted offset, in bytes.
        offset: u64,
        /// Round of the chunk.
        round: u64,
    },
    /// The log differs from the leader's at the position before the entries.
    Mismatch {
        /// Last position that may be equal.
        hint: Index,
        /// Position of the append that differs.
        prev_index: Index,
        /// Round of the append.
        round: u64,
    },
    /// Would you vote for me?
    PreVote {
        /// Candidate's last position.
        last_index: Index,
        /// Term at `last_index`.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoted {
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Your term is over: sent to a leader or candidate of an older term.
    Stale,
    /// Vote for me.
    Vote {
        /// Candidate's last position.
        last_index: Index,
        /// Term at `last_index`.
        last_term: Term,
    },
    /// Answer to a vote request, synced.
    Voted {
        /// Whether the vote is given.
        granted: bool,
    },
}
