//! What carries frames to other processes.

use std::net::SocketAddr;

use crate::id::NodeId;
use crate::link;

/// Carries frames to other processes; never waits. What can't be sent is dropped, as a
/// network would: the slices repeat what matters.
pub trait Transport: Send {
    /// Keeps links to these processes open, and lets others close when idle.
    fn set_neighbours(&mut self, neighbours: &[NodeId]);

    /// Sends a frame to a process, which listens at `address` if that is known.
    fn send(&mut self, to: &NodeId, address: Option<SocketAddr>, bytes: Vec<u8>);

    /// State of the links, for operators.
    fn status(&self) -> Option<link::Status>;
}
