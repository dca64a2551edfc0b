use std::time::Duration;

use crate::balance::Report;
use crate::health::Kind;

/// How a picked request completed.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// Outcome.
    pub kind: Kind,
    /// Time from the last byte of the request to the first byte of the answer.
    pub latency: Duration,
    /// Load reported with the answer.
    pub report: Option<Report>,
}
