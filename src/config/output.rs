//! What a replicator wants done.

use crate::id::NodeId;

use super::Message;
use super::Standing;
use super::Version;

/// Effect that the driver carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Put this version in force here, and write it to the disk if there is one.
    Apply(Version),
    /// Send a message.
    Send {
        /// The message.
        message: Message,
        /// Its receiver.
        to: NodeId,
    },
    /// What the process may do with callers has changed.
    StandingChanged(Standing),
}
