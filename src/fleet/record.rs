//! Descriptions of members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::RegionId;

/// Metadata that a member publishes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Meta {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Configuration in force.
    ///
    /// Updated by probes only, so it is current at neighbours and stale at other members. 1,400
    /// changes per day on 520 nodes would mean 728,000 gossiped records per day.
    pub config: ConfigNumber,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Address that other processes connect to.
    pub links: SocketAddr,
    /// Region of the VM.
    pub region: RegionId,
    /// Roles of the process.
    pub roles: BTreeSet<Role>,
    /// Whether it accepts callers.
    pub state: State,
}

/// Description of a member in one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the process.
    pub id: NodeId,
    /// Version of this record. Starts from the wall clock and increases with each change.
    pub incarnation: Incarnation,
    /// Metadata of the member.
    pub meta: Meta,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Replica of the durable state.
    Control,
    /// Accepts requests of callers.
    Entry,
}

/// Process through which a member joins the fleet.
///
/// If its name is unknown, any placeholder that the driver maps to `address`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Name of the process.
    pub id: NodeId,
}

/// Whether a member accepts callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Still serves requests, but is not advertised to callers.
    Leaving,
    /// Accepts callers.
    Serving,
    /// Not ready yet.
    Starting,
}

/// Status of a member. A later one overrides an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Did not answer an observer, neither directly nor indirectly.
    Suspect,
    /// Did not refute the suspicion in time.
    Failed,
    /// Left voluntarily.
    Left,
}
