//! What a replicator is told.

use crate::id::NodeId;

use super::Message;
use super::Peer;
use super::Version;

/// Event for a replicator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The log of this process (a control replica) committed a version.
    Committed(Version),
    /// This process has just proved that it leads control, by lease or read
    /// index, and has applied all that is committed; or that it no longer does.
    Leads(bool),
    /// Other processes to exchange configuration with: the long-lived links and
    /// the control replicas, not the whole fleet.
    Peers(Vec<Peer>),
    /// A message arrived.
    Receive {
        /// Its sender, as its certificate says.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; wanted about every 100 ms, or at [`super::Replicator::next_at`].
    Tick,
}
