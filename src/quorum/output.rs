//! What a replica wants done.

use std::sync::Arc;

use super::membership::Membership;
use super::message::Message;
use super::record::Record;
use super::snapshot::Snapshot;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// Why a replica did not take something up. Nothing was appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The learner has not caught up yet; try again.
    Behind,
    /// Another change, or the leader's first entry, is not committed yet.
    Busy,
    /// Too much is waiting to be committed; try again later.
    Full,
    /// Another replica leads, or none.
    NotLeader,
    /// The name is in use with another data folder; remove that one first.
    Occupied,
    /// The membership already is as wanted.
    Unchanged,
    /// No such member.
    Unknown,
    /// Too few up-to-date voters would be left to go on.
    WouldStall,
}

/// What a replica wants done, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A proposal or change is committed: synced by a majority. Follows its
    /// [`Output::Commit`] or [`Output::Changed`].
    Accepted {
        /// Ticket of the proposal.
        ticket: u64,
        /// Its position.
        index: Index,
    },
    /// This replica now leads.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// A membership is committed.
    Changed {
        /// Its position.
        index: Index,
        /// Members from here on.
        membership: Membership,
    },
    /// A command is committed; to be applied in this order.
    Commit {
        /// Its position.
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
    /// Write these records and sync them, then say [`super::Input::Synced`].
    /// Several may share one sync; none may be left out or change places.
    Persist {
        /// Grows by one with each.
        number: u64,
        /// Records, in order.
        records: Vec<Record>,
    },
    /// Local state now is as new as anything accepted before the read was asked.
    Readable {
        /// Ticket of the read.
        ticket: u64,
    },
    /// Not taken up, and never will be.
    Refused {
        /// Ticket of the proposal, change or read.
        ticket: u64,
        /// Why.
        reason: Reason,
        /// Who leads, where known.
        leader: Option<NodeId>,
    },
    /// Send a message.
    Send {
        /// Its receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// This replica no longer leads.
    SteppedDown {
        /// Term it led.
        term: Term,
    },
    /// Leadership ended before the proposal or change was committed: it may
    /// still be committed, or not. A resend must be idempotent.
    Uncertain {
        /// Ticket of the proposal or change.
        ticket: u64,
    },
}
