//! Outputs of a member.

use std::net::SocketAddr;

use crate::fleet::Message;
use crate::id::NodeId;

/// Action or notification of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A member's record changed, or it refuted a suspicion.
    Changed(NodeId),
    /// A member was declared failed.
    Failed(NodeId),
    /// A member joined or returned.
    Joined(NodeId),
    /// A member left voluntarily.
    Left(NodeId),
    /// A message to send.
    Send {
        /// Receiver.
        to: NodeId,
        /// Address at which the receiver accepts links.
        address: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// A member is suspected.
    Suspected(NodeId),
}
