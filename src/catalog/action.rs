//! Log entries about upstreams.

use serde::Deserialize;
use serde::Serialize;

use super::Change;
use crate::id::UpstreamId;

/// Log entry about one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// The upstream announced its state.
    Announce(Change),
    /// The upstream reported that it is leaving.
    Leave(UpstreamId),
}

impl Action {
    /// The upstream that it is about.
    pub fn upstream(&self) -> &UpstreamId {
        match self {
            Self::Announce(change) => &change.announcement.upstream,
            Self::Leave(upstream) => upstream,
        }
    }
}
