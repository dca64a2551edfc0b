//! Messages between replicas.

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
    /// Content.
    pub body: Body,
    /// Data folder of the sender.
    pub disk: DiskId,
    /// Sender's term; in a pre-vote and its grant, the term of the election that would
    /// follow.
    pub term: Term,
    /// Data folder of the receiver. A replica drops a message for a folder that it no
    /// longer has.
    pub to: DiskId,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Append entries; a heartbeat if `entries` is empty.
    Append {
        /// Leader's commit index.
        commit: Index,
        /// Entries at consecutive indices after `prev_index`.
        entries: Vec<Entry>,
        /// Index before the first entry.
        prev_index: Index,
        /// Term at `prev_index`.
        prev_term: Term,
        /// Heartbeat round, echoed in the answer.
        round: u64,
    },
    /// Successful answer to an append: the log matches the leader's up to `matched`
    /// and is synced.
    Appended {
        /// Last index known to match.
        matched: Index,
        /// Round of the append.
        round: u64,
    },
    /// Chunk of a snapshot.
    Chunk {
        /// Bytes of the chunk.
        bytes: Vec<u8>,
        /// Last index the snapshot covers.
        index: Index,
        /// Term at `index`.
        index_term: Term,
        /// Membership at `index`.
        membership: Membership,
        /// Position of the chunk in the snapshot, in bytes.
        offset: u64,
        /// Heartbeat round, echoed in the answer.
        round: u64,
        /// Length of the whole snapshot, in bytes.
        total: u64,
    },
    /// Answer to a chunk that is not the last: the offset expected next.
    Chunked {
        /// Last index the snapshot covers.
        index: Index,
        /// Expected offset, in bytes.
        offset: u64,
        /// Round of the chunk.
        round: u64,
    },
    /// Failed answer to an append: the log differs from the leader's at `prev_index`.
    Mismatch {
        /// Last index that may match.
        hint: Index,
        /// Index before the entries of the append.
        prev_index: Index,
        /// Round of the append.
        round: u64,
    },
    /// Asks whether the receiver would vote for the sender in an election.
    PreVote {
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term at `last_index`.
        last_term: Term,
    },
    /// Answer to a pre-vote request.
    PreVoted {
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Tells a leader or candidate of an older term that a newer one exists.
    Stale,
    /// Asks for a vote.
    Vote {
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term at `last_index`.
        last_term: Term,
    },
    /// Answer to a vote request, sent after the vote is synced.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
}
