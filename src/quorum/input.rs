//! Inputs of a replica.

use super::membership::DiskId;
use super::message::Message;
use crate::id::Index;
use crate::id::NodeId;

/// Change of the membership by one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a member that receives entries but has no vote.
    AddLearner {
        /// Data folder of the member, from its [`super::Status::disk`].
        disk: DiskId,
        /// Name of the member.
        node: NodeId,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// Name of the member.
        node: NodeId,
    },
    /// Removes a voter or learner.
    Remove {
        /// Name of the member.
        node: NodeId,
    },
}

/// Input of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Change of the membership, by an operator or by [`super::repair`].
    Change {
        /// Identifies the answer.
        ticket: u64,
        /// What to change.
        change: Change,
    },
    /// Command to replicate.
    Propose {
        /// Identifies the answer.
        ticket: u64,
        /// Command, encoded by the application.
        command: Vec<u8>,
    },
    /// Linearizable read: asks when the local state includes everything accepted
    /// before this input.
    Read {
        /// Identifies the answer.
        ticket: u64,
    },
    /// Message from another replica.
    Receive {
        /// Sender, as named by its certificate.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Application's state after the command at `index`, with which the log is
    /// compacted.
    Snapshot {
        /// Last index it covers; at most the commit index.
        index: Index,
        /// State, encoded by the application.
        bytes: Vec<u8>,
    },
    /// Every [`super::Output::Persist`] up to this number is on disk.
    Synced {
        /// Number of the newest one.
        number: u64,
    },
    /// Time has passed.
    Tick,
}
