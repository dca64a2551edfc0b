//! What an upstream says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// An upstream's announcement; the same one sent again renews the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Connections that it takes in all.
    pub connections: u32,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Restart counter: higher is newer; the start time in milliseconds will do.
    pub incarnation: Incarnation,
    /// How long the announcement holds without a renewal.
    pub lease: Duration,
    /// Service that it is part of.
    pub service: ServiceId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Its name, unique in the system.
    pub upstream: UpstreamId,
    /// How long after its start it takes less than its full share.
    pub warm_up: Duration,
}

/// Whether an upstream takes new work; later ones outweigh earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Its lease ran out.
    Gone,
}
