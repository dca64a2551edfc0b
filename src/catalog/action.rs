//! What the log says about upstreams.

use serde::Deserialize;
use serde::Serialize;

use super::Change;
use crate::id::UpstreamId;

/// One entry of the log about an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// It said how it is.
    Announce(Change),
    /// It said that it is gone.
    Leave(UpstreamId),
}
