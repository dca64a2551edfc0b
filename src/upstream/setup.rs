use std::net::SocketAddr;
use std::time::Duration;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::FailureMode;

/// Parameters of a test upstream.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Factor on the processing time at the start, which falls linearly to 1 over `warm_up`;
    /// a factor below 1 has no effect.
    pub cold_start_factor: f64,
    /// Failure domain that it announces.
    pub domain: DomainId,
    /// Operator addresses of the entries that it announces itself to.
    pub entries: Vec<SocketAddr>,
    /// Initial failure mode.
    pub failure_mode: FailureMode,
    /// Identifies this start of the upstream; a higher incarnation is newer.
    pub incarnation: Incarnation,
    /// Lease duration of an announcement.
    pub lease: Duration,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Name of the upstream.
    pub name: UpstreamId,
    /// Requests that may wait for a slot; further ones are shed.
    pub queue: usize,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Maximum number of requests processed at once.
    pub slots: usize,
    /// Duration of the cold start.
    pub warm_up: Duration,
    /// Processing time of a request.
    pub processing_time: Duration,
}

impl Setup {
    /// Creates the parameters of an upstream without failures, with four slots and a processing
    /// time of 25 ms.
    pub fn new(name: &str, service: &str, domain: &str, listen: SocketAddr) -> Self {
        Self {
            cold_start_factor: 1.0,
            domain: domain.into(),
            entries: Vec::new(),
            failure_mode: FailureMode::None,
            incarnation: crate::node::incarnation(),
            lease: Duration::from_secs(6),
            listen,
            name: name.into(),
            queue: 8,
            service: service.into(),
            slots: 4,
            warm_up: Duration::ZERO,
            processing_time: Duration::from_millis(25),
        }
    }
}
