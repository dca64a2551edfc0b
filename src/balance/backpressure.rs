//! What an upstream asks of those that send to it.

use std::time::Duration;

use crate::balance::Limit;

/// What an upstream asks, with an answer, of those that send to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backpressure {
    /// Whether it is leaving and takes no new requests.
    pub is_leaving: bool,
    /// Requests per second that it takes from all entries together.
    pub limit: Option<Limit>,
    /// For how long it wants no requests from the entry that it answered.
    pub rest: Option<Duration>,
}
