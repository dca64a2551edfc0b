use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Reason;

/// What a gate decides.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Output {
    /// Answer it now, marked as not run.
    Refuse {
        /// Why.
        reason: Reason,
        /// When the caller should come back; jittered.
        retry_after: Duration,
        /// The request.
        ticket: u64,
    },
    /// Send it to an upstream now.
    Run {
        /// The request.
        ticket: u64,
    },
}
