use std::net::SocketAddr;
use std::time::Duration;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::Gray;

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct Setup {
    /// How much longer work takes in a cold start, falling to nothing over `warm_up`.
    pub cold: f64,
    /// Failure domain it says it is in.
    pub domain: DomainId,
    /// Operators' addresses of entries to announce itself to.
    pub entries: Vec<SocketAddr>,
    /// How it fails at the start.
    pub gray: Gray,
    /// Restart counter; higher is newer.
    pub incarnation: Incarnation,
    /// For how long an announcement counts.
    pub lease: Duration,
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// Its name.
    pub name: UpstreamId,
    /// Requests that may wait for a slot before it sheds.
    pub queue: usize,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Requests it works on at once.
    pub slots: usize,
    /// Cold start.
    pub warm_up: Duration,
    /// Time that a request takes.
    pub work: Duration,
}

impl Setup {
    /// A sound upstream with four slots that takes 25 ms for each request.
    pub fn new(name: &str, service: &str, domain: &str, listen: SocketAddr) -> Self {
        Self {
            cold: 1.0,
            domain: domain.into(),
            entries: Vec::new(),
            gray: Gray::None,
            incarnation: crate::node::incarnation(),
            lease: Duration::from_secs(6),
            listen,
            name: name.into(),
            queue: 8,
            service: service.into(),
            slots: 4,
            warm_up: Duration::ZERO,
            work: Duration::from_millis(25),
        }
    }
}
