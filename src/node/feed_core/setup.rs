//! What a process knows when it starts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::boundary::Boundary;
use crate::feed::Capacity;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::node::Controller;

/// What a process knows when it starts.
#[derive(Debug)]
pub(in crate::node) struct Setup {
    /// How configurations are read.
    pub(in crate::node) boundary: Arc<dyn Boundary>,
    /// Where callers connect, at an entry.
    pub(in crate::node) callers: SocketAddr,
    /// The own failure domain.
    pub(in crate::node) domain: DomainId,
    /// The own id, which names the VM's address.
    pub(in crate::node) id: NodeId,
    /// Whether it is a control.
    pub(in crate::node) is_control: bool,
    /// Whether it is an entry.
    pub(in crate::node) is_entry: bool,
    /// The log, at a control.
    pub(in crate::node) controller: Option<Controller>,
    /// How much it is meant to carry, at an entry.
    pub(in crate::node) room: Capacity,
    /// Span over which further tries count, at an entry.
    pub(in crate::node) retry_window: Duration,
    /// Seed of all that is drawn.
    pub(in crate::node) seed: u64,
    /// Controls that are known from the start.
    pub(in crate::node) seeds: Vec<NodeId>,
}
