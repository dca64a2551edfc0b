use std::time::Duration;

use crate::team::Limit;

/// Share of the tolerated excess that is handed out with a limit. Entries give allocations back
/// up to half a second late, so without it a team would get less than its limit. The rest covers
/// the drift of clocks.
const USED_TOLERANCE: f64 = 0.9;

/// Configuration of how limits are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Share of a limit that the operator tolerates beyond it.
    pub overage: f64,
    /// Requests within a window that the operator tolerates in addition.
    pub tolerance: f64,
    /// Span in which a limit holds, wherever it begins.
    pub window: Duration,
}

impl Config {
    /// Requests that a limit allows within a window.
    pub fn allowance(&self, limit: Limit) -> u32 {
        let limit = limit.rate * self.window.as_secs_f64() + limit.burst;
        (limit * (1.0 + USED_TOLERANCE * self.overage) + USED_TOLERANCE * self.tolerance) as u32
    }
}
