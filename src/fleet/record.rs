//! What members know of each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::id::RegionId;

/// What a member says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Meta {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Configuration in force.
    ///
    /// Travels on probes only, so it is current for neighbours and old for others:
    /// 1,400 changes a day on 520 nodes would be 728,000 records a day to flood.
    pub config: ConfigNumber,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Where other processes connect.
    pub links: SocketAddr,
    /// Region of the VM.
    pub region: RegionId,
    /// Duties of the process.
    pub roles: BTreeSet<Role>,
    /// Whether it takes callers.
    pub state: State,
}

/// One member as it describes itself in one incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the process.
    pub id: NodeId,
    /// Version of this record; starts from the wall clock, grows with each change.
    pub incarnation: Incarnation,
    /// What it says of itself.
    pub meta: Meta,
}

/// Duty of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// Replica of the durable state.
    Control,
    /// Takes callers' requests.
    Entry,
}

/// Process to ask for membership at the start.
///
/// Where its name is not known, any placeholder that the driver maps to `address`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Where it listens for links.
    pub address: SocketAddr,
    /// Its name.
    pub id: NodeId,
}

/// Whether a member takes callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Serves those who come, and is off the callers' lists.
    Leaving,
    /// Takes callers.
    Serving,
    /// Not ready yet.
    Starting,
}

/// What a member is taken for; a later one outweighs an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Did not answer an observer, directly or through others.
    Suspect,
    /// Did not refute the suspicion in time.
    Failed,
    /// Left by its own will.
    Left,
}
