//! Departure of an upstream.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Index;
use crate::id::UpstreamId;

/// Report of an upstream that it is leaving.
///
/// It does not name the start that leaves, so it is given the position of the table that it was read
/// with: a start, or a later word of it, that is only in the log after that is not what left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Index up to which the control that read it had applied the log.
    pub seen: Index,
    /// The upstream that leaves.
    pub upstream: UpstreamId,
}
