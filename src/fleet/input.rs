//! Inputs of a member.

use crate::fleet::Message;
use crate::fleet::Meta;
use crate::id::ConfigNumber;
use crate::id::NodeId;

/// Event that a member handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Another configuration is in force at this process.
    Configuration(ConfigNumber),
    /// The process stops for good and announces it to the others.
    Leave,
    /// A message arrived.
    Receive {
        /// Sender, taken from its certificate.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; due at least every [`crate::fleet::Member::TICK`].
    Tick,
    /// The metadata of this process changed.
    Update(Meta),
}
