use std::time::Duration;

use crate::balance::Report;
use crate::health::Kind;

/// What an entry sees of one request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Outcome.
    pub kind: Kind,
    /// Time from sending to the first byte, or to giving up.
    pub latency: Duration,
    /// Load told on the answer.
    pub report: Option<Report>,
}
