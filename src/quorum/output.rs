//! Outputs of a replica.

use std::sync::Arc;

use super::membership::Membership;
use super::message::Message;
use super::record::Record;
use super::snapshot::Snapshot;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// Why a replica refused a proposal, change or read. Nothing was appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The learner has not caught up yet; try again.
    Behind,
    /// Another change, or the leader's first entry, is not committed yet.
    Busy,
    /// Too many bytes are uncommitted; try again later.
    Full,
    /// This replica is not the leader.
    NotLeader,
    /// The name is in use with another data folder; remove that one first.
    Occupied,
    /// The membership already is as requested.
    Unchanged,
    /// No such member.
    Unknown,
    /// Too few up-to-date voters would remain to commit anything.
    WouldStall,
}

/// Output of a replica. The caller carries outputs out in their order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A proposal or change is committed, that is, synced by a majority. Follows its
    /// [`Output::Commit`] or [`Output::Changed`].
    Accepted {
        /// Ticket of the proposal.
        ticket: u64,
        /// Index of its entry.
        index: Index,
    },
    /// This replica now leads.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// A membership is committed.
    Changed {
        /// Index of its entry.
        index: Index,
        /// Membership from this index on.
        membership: Membership,
    },
    /// A command is committed. Commands are to be applied in this order.
    Commit {
        /// Index of its entry.
        index: Index,
        /// Term of the leader that appended it.
        term: Term,
        /// Command of the application.
        command: Vec<u8>,
    },
    /// Replace the application's state by this snapshot.
    Install {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
    },
    /// Write these records and sync them, then report [`super::Input::Synced`].
    /// Several outputs may share one sync; none may be skipped or reordered.
    Persist {
        /// Number of this output, one more than the last.
        number: u64,
        /// Records, in order.
        records: Vec<Record>,
    },
    /// The local state now includes everything accepted before the read arrived.
    Readable {
        /// Ticket of the read.
        ticket: u64,
    },
    /// The input was refused and has no effect.
    Refused {
        /// Ticket of the proposal, change or read.
        ticket: u64,
        /// Reason of the refusal.
        reason: Reason,
        /// Current leader, where known.
        leader: Option<NodeId>,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// This replica no longer leads.
    SteppedDown {
        /// Term it led.
        term: Term,
    },
    /// Leadership ended before the proposal or change was committed; a later leader
    /// may or may not commit it. A resend must be idempotent.
    Uncertain {
        /// Ticket of the proposal or change.
        ticket: u64,
    },
}
