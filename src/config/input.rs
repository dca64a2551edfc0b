//! Inputs of a replicator.

use crate::id::NodeId;

use super::Message;
use super::Peer;
use super::Version;

/// An event that a replicator handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The quorum log of this process, which is a control replica, committed a version.
    Committed(Version),
    /// Whether this process leads control. `true` requires that it has just proved so by a
    /// lease or a read index and has applied everything that is committed.
    Leads(bool),
    /// Other processes to exchange configuration with: those with long-lived links and
    /// the control replicas, not the whole fleet.
    Peers(Vec<Peer>),
    /// A message arrived.
    Receive {
        /// Its sender, as named by its certificate.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed. Due about every 100 ms, or at [`super::Replicator::next_at`].
    Tick,
}
