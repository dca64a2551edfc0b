//! Replicated change of one upstream.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::Life;
use crate::registry::State;

/// An upstream's announcement and its position in the order of changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Time since its incarnation was first announced, from which the warm-up is computed.
    pub age: Duration,
    /// The announcement. Its state may be [`State::Gone`].
    pub announcement: Announcement,
    /// Increases when an upstream returns in the same incarnation after its lease expired, or
    /// changes its figures. The order of states alone cannot express that.
    pub revision: u32,
}

impl Change {
    /// Position in the order of changes.
    pub fn life(&self) -> Life {
        Life {
            incarnation: self.announcement.incarnation,
            revision: self.revision,
            state: self.announcement.state,
            sequence: 0,
        }
    }

    /// Hash of [`Change::life`] that digests compare.
    pub fn version(&self) -> u32 {
        let Life { incarnation, revision, state, sequence: _ } = self.life();
        let mut bytes = incarnation.to_le_bytes().to_vec();
        bytes.extend(revision.to_le_bytes());
        bytes.push(state as u8);
        xxh3_64(&bytes) as u32
    }
}

/// New state of an upstream that the receiver knows. A quarter of the size of a [`Change`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateChange {
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Revision, as in [`Change`].
    pub revision: u32,
    /// State of the upstream.
    pub state: State,
    /// The upstream.
    pub upstream: UpstreamId,
}
