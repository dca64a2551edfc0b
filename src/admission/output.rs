use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Reason;

/// Decision of a gate about one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Output {
    /// Refuse the request now, marked as not run.
    Refuse {
        /// Why it is refused.
        reason: Reason,
        /// When the caller should retry, jittered.
        retry_after: Duration,
        /// Ticket of the request.
        ticket: u64,
    },
    /// Send the request to an upstream now.
    Run {
        /// Ticket of the request.
        ticket: u64,
    },
}
