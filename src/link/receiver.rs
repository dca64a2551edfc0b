//! Destination of received frames.

use crate::id::NodeId;

/// Handles received frames. It is called from the tasks that read links, so it must not block:
/// when the channel behind it is full, it should drop and count frames.
pub trait Receiver: Send + Sync {
    /// Handles a frame. `from` is the name in the sender's certificate.
    fn receive(&self, from: &NodeId, frame: Vec<u8>);
}

impl<F: Fn(&NodeId, Vec<u8>) + Send + Sync> Receiver for F {
    fn receive(&self, from: &NodeId, frame: Vec<u8>) {
        self(from, frame);
    }
}
