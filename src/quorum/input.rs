//! What a replica is told.

use super::membership::DiskId;
use super::message::Message;
use crate::id::Index;
use crate::id::NodeId;

/// Change of the membership by one member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a member that receives entries but does not count.
    AddLearner {
        /// Identity of its data folder, from its [`super::Status::disk`].
        disk: DiskId,
        /// Its name.
        node: NodeId,
    },
    /// Lets a learner that has caught up vote.
    Promote {
        /// Its name.
        node: NodeId,
    },
    /// Removes a voter or learner.
    Remove {
        /// Its name.
        node: NodeId,
    },
}

/// What a replica is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Operator's change of the membership.
    Change {
        /// Named again in the answer.
        ticket: u64,
        /// What to change.
        change: Change,
    },
    /// Command to replicate.
    Propose {
        /// Named again in the answer.
        ticket: u64,
        /// Command, encoded by the application.
        command: Vec<u8>,
    },
    /// Asks when local state is as new as anything accepted before this input.
    Read {
        /// Named again in the answer.
        ticket: u64,
    },
    /// Message from another replica.
    Receive {
        /// Its sender, as its certificate says.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Application's state after the command at `index`, to shorten the log.
    Snapshot {
        /// Last position it covers; at most the last one committed.
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
