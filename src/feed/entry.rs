//! Description of an entry.

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

/// Description that an entry sends with each poll.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Id of the entry.
    pub id: NodeId,
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
