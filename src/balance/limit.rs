//! Limits that upstreams name.

use serde::Deserialize;
use serde::Serialize;

use crate::id::NodeId;

/// Share of a limit that the upstream's owner uses. While lists of entries differ, two entries may
/// take themselves for the owner, and together they must not send much more than the limit.
const OWNER_SHARE: f64 = 0.7;
/// Thousandths in one.
const MILLIS: f64 = 1_000.0;

/// Requests per second that an upstream takes from all entries together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Limit {
    /// Thousandths of a request per second.
    millis: u32,
}

impl Limit {
    /// Creates a limit, rounded down to thousandths; `None` for a negative or infinite one.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self { millis: (per_second * MILLIS) as u32 })
    }

    /// Requests per second that an entry may send. Only the upstream's owner sends any.
    pub fn rate_of(self, entry: &NodeId, owner: Option<&NodeId>) -> f64 {
        if owner == Some(entry) { self.per_second() * OWNER_SHARE } else { 0.0 }
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.millis) / MILLIS
    }
}
