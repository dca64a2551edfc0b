//! Entries as the registry needs to know them.

use std::net::SocketAddr;

use crate::fleet::Member;
use crate::fleet::Record;
use crate::fleet::Role;
use crate::fleet::State;
use crate::fleet::Status;
use crate::id::NodeId;

/// A live entry, as the fleet knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Where upstreams announce themselves.
    pub address: SocketAddr,
    /// Whether it may keep leases: a leaving one hands them over, but still learns
    /// of changes.
    pub home: bool,
    /// Its name.
    pub id: NodeId,
    /// Whether this process and it hold a link, along which changes spread.
    pub neighbour: bool,
    /// Whether the fleet suspects it.
    pub suspect: bool,
}

impl Entry {
    /// Live members of the fleet. Those that are no entries keep no leases, but
    /// changes spread through them too.
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
