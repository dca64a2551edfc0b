//! What an entry says of itself.

use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::Room;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;

/// What an entry says of itself.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Its id.
    pub id: NodeId,
    /// How much it is meant to carry.
    pub room: Room,
    /// Whether it takes callers.
    pub state: State,
}

/// Digest of a list of entries, by which two processes see whether they have the same one.
pub(super) fn digest(entries: &[Entry]) -> u64 {
    let mut hasher = Xxh3::new();
    for entry in entries {
        entry.hash(&mut hasher);
    }
    hasher.finish()
}
