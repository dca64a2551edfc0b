//! Sends frames to other processes.

use std::net::SocketAddr;

use super::Status;
use crate::id::NodeId;

/// Sends frames to other processes without blocking. A frame that can't be sent is dropped, as on
/// an unreliable network; slices resend what matters.
pub trait Transport: Send {
    /// Sets the processes to keep links open to; links to others close when idle.
    fn set_neighbours(&mut self, neighbours: &[NodeId]);

    /// Sends a frame to a process; `address` is where it listens, if known.
    fn send(&mut self, to: &NodeId, address: Option<SocketAddr>, bytes: Vec<u8>);

    /// Status of the links, for operators; `None` if this transport has none to report.
    fn status(&self) -> Option<Status>;
}
