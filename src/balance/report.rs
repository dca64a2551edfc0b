use serde::Deserialize;
use serde::Serialize;

/// Load that an upstream tells on an answer, in the manner of in-band load
/// reports. May be stale or untrue.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Requests running and queued at the upstream when it answered.
    pub in_flight: u32,
}
