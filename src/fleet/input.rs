//! What happens to a member.

use crate::fleet::Message;
use crate::fleet::Meta;
use crate::id::ConfigNumber;
use crate::id::NodeId;

/// One thing that happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Another configuration is in force here.
    Configuration(ConfigNumber),
    /// The process stops for good; tells the others.
    Leave,
    /// A message arrived.
    Receive {
        /// Its sender, as the sender's certificate says.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; due at least every [`crate::fleet::Member::TICK`].
    Tick,
    /// The process describes itself differently.
    Update(Meta),
}
