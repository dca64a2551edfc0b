//! What a member wants done.

use std::net::SocketAddr;

use crate::fleet::Message;
use crate::id::NodeId;

/// One thing that a member wants done or known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A member's record changed, or it refuted a suspicion.
    Changed(NodeId),
    /// A member is taken for failed.
    Failed(NodeId),
    /// A member is new or came back.
    Joined(NodeId),
    /// A member left by its own will.
    Left(NodeId),
    /// A message to send.
    Send {
        /// Receiver.
        to: NodeId,
        /// Where the receiver listens for links.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// A member is suspected.
    Suspected(NodeId),
}
