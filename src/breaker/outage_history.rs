//! How long recent outages of a service's upstreams lasted.

use std::collections::VecDeque;
use std::time::Duration;

/// Outages kept: those of about a dozen seconds where a third of 40 upstreams are out at a time.
const CAPACITY: usize = 48;
/// Outages needed for a result; with fewer it may be chance.
const OUTAGES_MIN: usize = 6;

/// How long recent outages of a service's upstreams lasted.
///
/// **Load pattern.** Some upstreams break a single answer and are sound again; others break most
/// answers for some seconds. Only a trial tells which, and each trial that comes too early costs
/// a lost request or a retry.
///
/// **Without it.** With four trials a second from the start, upstreams whose outages last seven
/// seconds cost two dozen requests each, and 35% of all idempotent requests hit one first.
/// Requests that are not idempotent are lost each time.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    durations: VecDeque<Duration>,
}

impl OutageHistory {
    /// Records the duration of an outage.
    pub fn add(&mut self, duration: Duration) {
        if self.durations.len() == CAPACITY {
            self.durations.pop_front();
        }
        self.durations.push_back(duration);
    }

    /// Age at which an outage that has already lasted for `lasted` is over with this likelihood;
    /// `None` if too few known outages lasted longer.
    pub fn over_at(&self, lasted: Duration, likelihood: f64) -> Option<Duration> {
        let mut longer: Vec<Duration> =
            self.durations.iter().copied().filter(|duration| *duration > lasted).collect();
        if longer.len() < OUTAGES_MIN {
            return None;
        }
        longer.sort_unstable();
        let index = (longer.len() as f64 * likelihood) as usize;
        longer.get(index).copied()
    }
}
