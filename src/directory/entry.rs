//! Entries as the directory needs to know them.

use std::net::SocketAddr;

use crate::fleet::Member;
use crate::fleet::Record;
use crate::fleet::Role;
use crate::fleet::State;
use crate::fleet::Status;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::RegionId;

/// A live entry, as the fleet knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub domain: DomainId,
    /// Its name.
    pub id: NodeId,
    /// How busy it is, from 0 to 1; 0 where that is not known.
    pub load: f64,
    /// Region of its VM.
    pub region: RegionId,
    /// Whether it takes callers.
    pub state: State,
    /// Whether the fleet suspects it.
    pub suspect: bool,
}

impl Entry {
    /// Entries among the live members of the fleet, their load unknown.
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
