//! Entries from the point of view of the registry.

use std::net::SocketAddr;

use crate::fleet::Member;
use crate::fleet::Record;
use crate::fleet::Role;
use crate::fleet::State;
use crate::fleet::Status;
use crate::id::NodeId;

/// A live member of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Address at which upstreams announce themselves.
    pub address: SocketAddr,
    /// Whether it may be the home of upstreams. A leaving entry hands its upstreams over, but
    /// still gets changes.
    pub home: bool,
    /// Name of the process.
    pub id: NodeId,
    /// Whether this process has a link to it, along which changes are gossiped.
    pub neighbour: bool,
    /// Whether the fleet suspects it to have failed.
    pub suspect: bool,
}

impl Entry {
    /// Returns the live members of the fleet. Those that are not entries are no homes, but they
    /// relay changes too.
    pub fn all(fleet: &Member) -> Vec<Self> {
        let live = fleet.members().filter(|(_, status)| *status < Status::Failed);
        live.map(|(record, status)| Self::new(fleet, record, status)).collect()
    }

    fn new(fleet: &Member, record: &Record, status: Status) -> Self {
        let meta = &record.meta;
        Self {
            address: meta.callers,
            home: meta.roles.contains(&Role::Entry) && meta.state == State::Serving,
            id: record.id.clone(),
            neighbour: fleet.neighbours().contains(&record.id),
            suspect: status == Status::Suspect,
        }
    }
}
