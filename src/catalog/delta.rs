//! What changed in the table since somebody last looked.

use serde::Deserialize;
use serde::Serialize;

use crate::id::UpstreamId;
use crate::registry::Announcement;

/// What changed in the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Upstreams that are gone.
    pub gone: Vec<UpstreamId>,
    /// Upstreams that are new or changed.
    pub upstreams: Vec<Announcement>,
    /// Whether all others are gone too: the table no longer tells what went since.
    pub whole: bool,
}

impl Delta {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.gone.is_empty() && self.upstreams.is_empty()
    }
}
