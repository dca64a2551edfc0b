//! News of one upstream.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::State;

/// An upstream's announcement with its place in the order of changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// How long ago its incarnation was first announced; for the warm-up.
    pub age: Duration,
    /// What it says of itself; the state may be [`State::Gone`].
    pub announcement: Announcement,
    /// Grows when an upstream comes back in the same incarnation after its lease
    /// ran out, which a plain order of states could not express.
    pub revision: u32,
}

impl Change {
    /// Place in the order of changes: incarnation, revision, state.
    pub fn order(&self) -> (u64, u32, State) {
        (self.announcement.incarnation, self.revision, self.announcement.state)
    }

    /// Hash of [`Change::order`], for digests.
    pub fn version(&self) -> u32 {
        let (incarnation, revision, state) = self.order();
        let mut bytes = incarnation.to_le_bytes().to_vec();
        bytes.extend(revision.to_le_bytes());
        bytes.push(state as u8);
        xxh3_64(&bytes) as u32
    }
}

/// State of an upstream that the receiver knows already: a quarter of a [`Change`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision, as in [`Change`].
    pub revision: u32,
    /// Its state.
    pub state: State,
    /// The upstream.
    pub upstream: UpstreamId,
}
