//! Announcement of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Description that an upstream sends of itself. Sending it again renews the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Most connections that it accepts in total.
    pub connections: u32,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Restart counter. A higher one is newer; the start time in milliseconds is suitable.
    pub incarnation: Incarnation,
    /// How long the announcement is valid without a renewal.
    pub lease: Duration,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Most requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// Name, unique in the system.
    pub upstream: UpstreamId,
    /// How long after its start it gets less than its full share of work.
    pub warm_up: Duration,
}

/// Whether an upstream accepts new work. Later states override earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new work.
    Ready,
    /// Completes its work and accepts no more.
    Draining,
    /// Its lease expired.
    Gone,
}
