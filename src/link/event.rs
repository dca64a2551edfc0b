//! Where received frames go.

use crate::id::NodeId;

/// Takes received frames. It is called on the links' tasks, so it must not block;
/// a full channel behind it should drop and count.
pub trait Receiver: Send + Sync {
    /// Takes a frame; `from` is what the sender's certificate says.
    fn receive(&self, from: &NodeId, frame: Vec<u8>);
}

impl<F: Fn(&NodeId, Vec<u8>) + Send + Sync> Receiver for F {
    fn receive(&self, from: &NodeId, frame: Vec<u8>) {
        self(from, frame);
    }
}
