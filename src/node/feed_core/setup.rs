//! Initial values of a process, from its settings and its data folder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::boundary::Boundary;
use crate::feed::Capacity;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::node::Controller;

/// Initial values of a [`super::FeedCore`].
#[derive(Debug)]
pub(in crate::node) struct Setup {
    /// Compiles configurations.
    pub(in crate::node) boundary: Arc<dyn Boundary>,
    /// Address at which an entry accepts callers.
    pub(in crate::node) callers: SocketAddr,
    /// Failure domain of this process.
    pub(in crate::node) domain: DomainId,
    /// Id of this process: the address of its VM.
    pub(in crate::node) id: NodeId,
    /// Whether the whole fleet starts for the first time.
    pub(in crate::node) is_first: bool,
    /// Whether this process is a control.
    pub(in crate::node) is_control: bool,
    /// Whether this process is an entry.
    pub(in crate::node) is_entry: bool,
    /// Address at which an entry takes requests from other entries.
    pub(in crate::node) peers: Option<SocketAddr>,
    /// Replicated state machine, at a control.
    pub(in crate::node) controller: Option<Controller>,
    /// Load that an entry is sized for.
    pub(in crate::node) room: Capacity,
    /// Window over which an entry counts retries.
    pub(in crate::node) retry_window: Duration,
    /// Seed of all random numbers.
    pub(in crate::node) seed: u64,
    /// Ids of the controls in the settings.
    pub(in crate::node) seeds: Vec<NodeId>,
}
