//! Outputs of a replicator.

use crate::id::NodeId;

use super::Message;
use super::Standing;
use super::Version;

/// An effect that the driver carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Put this version in force in this process, and write it to its disk if it has one.
    Apply(Version),
    /// Send a message.
    Send {
        /// The message.
        message: Message,
        /// Its receiver.
        to: NodeId,
    },
    /// Whether the process may serve callers has changed.
    StandingChanged(Standing),
}
