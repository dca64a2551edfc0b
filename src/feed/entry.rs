//! Description of an entry.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::Capacity;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::reach::Verdict;

/// Description that an entry sends with each poll.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Id of the entry.
    pub id: NodeId,
    /// Address at which it takes requests from other entries, if it does.
    pub peers: Option<SocketAddr>,
    /// Services that the entry can't reach, and on request of a control those that it can.
    pub reach: BTreeMap<ServiceId, Verdict>,
    /// Load that the entry is sized for.
    pub room: Capacity,
    /// Whether the entry accepts callers.
    pub state: State,
}

/// Hashes a list of entries, so that two processes can check whether theirs are equal.
pub(super) fn digest(entries: &[Entry]) -> u64 {
    let mut hasher = Xxh3::new();
    for entry in entries {
        entry.hash(&mut hasher);
    }
    hasher.finish()
}
