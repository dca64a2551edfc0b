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
