use serde::Deserialize;
use serde::Serialize;

/// Load that an upstream reports with an answer (in-band load reporting). It may be stale or
/// wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Requests running and queued at the upstream when it answered.
    pub in_flight: u32,
}
