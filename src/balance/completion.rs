use std::time::Duration;

use crate::balance::Report;
use crate::health::Kind;

/// How a picked request ended.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// Outcome.
    pub kind: Kind,
    /// From the last byte of the request to the first byte of the answer.
    pub latency: Duration,
    /// Load told on the answer.
    pub report: Option<Report>,
}
