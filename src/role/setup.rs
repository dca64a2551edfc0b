//! Initial values of a process, from its settings and its data folder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::boundary::Boundary;
use crate::controller::Controller;
use crate::feed::Capacity;
use crate::id::DomainId;
use crate::id::NodeId;

/// Initial values of a [`super::Core`].
#[derive(Debug)]
pub struct Setup {
    /// Compiles configurations.
    pub boundary: Arc<dyn Boundary>,
    /// Address at which an entry accepts callers.
    pub callers: SocketAddr,
    /// Failure domain of this process.
    pub domain: DomainId,
    /// Id of this process: the address of its VM.
    pub id: NodeId,
    /// Whether this process is a control.
    pub is_control: bool,
    /// Whether this process is an entry.
    pub is_entry: bool,
    /// Address at which an entry takes requests from other entries.
    pub peers: Option<SocketAddr>,
    /// Replicated state machine, at a control.
    pub controller: Option<Controller>,
    /// Load that an entry is sized for.
    pub room: Capacity,
    /// Window over which an entry counts retries.
    pub retry_window: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Ids of the controls in the settings.
    pub seeds: Vec<NodeId>,
}
