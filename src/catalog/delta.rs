//! Changes of the table since an index of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::id::UpstreamId;
use crate::registry::Announcement;

/// Changes of the table since an index of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Upstreams that were removed.
    pub gone: Vec<UpstreamId>,
    /// Upstreams that were added or changed.
    pub upstreams: Vec<Announcement>,
    /// Whether `upstreams` holds the whole table, so that all other upstreams are gone. This is
    /// so when the table no longer knows all removals since the index.
    pub whole: bool,
}

impl Delta {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.gone.is_empty() && self.upstreams.is_empty()
    }
}
