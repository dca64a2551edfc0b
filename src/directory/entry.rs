//! Entries from the point of view of the directory.

use std::net::SocketAddr;

use crate::fleet::Member;
use crate::fleet::Record;
use crate::fleet::Role;
use crate::fleet::State;
use crate::fleet::Status;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::RegionId;

/// A live entry of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Name of the process.
    pub id: NodeId,
    /// Load from 0 to 1; 0 if unknown.
    pub load: f64,
    /// Region of its VM.
    pub region: RegionId,
    /// Whether it accepts callers.
    pub state: State,
    /// Whether the fleet suspects it to have failed.
    pub suspect: bool,
}

impl Entry {
    /// Returns the entries among the live members of the fleet, with unknown load.
    pub fn all(fleet: &Member) -> Vec<Self> {
        let live = fleet.members().filter(|(_, status)| *status < Status::Failed);
        let entries = live.filter(|(record, _)| record.meta.roles.contains(&Role::Entry));
        entries.map(|(record, status)| Self::new(record, status)).collect()
    }

    fn new(record: &Record, status: Status) -> Self {
        Self {
            address: record.meta.callers,
            domain: record.meta.domain.clone(),
            id: record.id.clone(),
            load: 0.0,
            region: record.meta.region.clone(),
            state: record.meta.state,
            suspect: status == Status::Suspect,
        }
    }
}
