//! How long outages of a service's upstreams lasted of late.

use std::collections::VecDeque;
use std::time::Duration;

/// Outages kept: some dozen seconds' worth where a third of 40 upstreams are out at a time.
const KEPT: usize = 48;
/// Fewest outages that show anything: fewer are as likely chance.
const LEAST: usize = 6;

/// How long outages of a service's upstreams lasted of late.
///
/// **Load pattern.** Some upstreams break a single answer and are well again; others break most
/// for some seconds. Which it is shows only when they are tried, and a request is lost or sent
/// again each time that it is too early.
///
/// **Without it.** Tried four times a second from the start, upstreams whose outages last for
/// seven seconds cost two dozen requests each: 35% of all lookups met one first. Where requests
/// may run only once, each is lost.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    lengths: VecDeque<Duration>,
}

impl OutageHistory {
    /// Notes how long one lasted.
    pub fn add(&mut self, length: Duration) {
        if self.lengths.len() == KEPT {
            self.lengths.pop_front();
        }
        self.lengths.push_back(length);
    }

    /// Age at which an outage that goes on at age `lasted` is over with this likelihood; `None`
    /// where too few are known that lasted so long.
    pub fn over_at(&self, lasted: Duration, likelihood: f64) -> Option<Duration> {
        let mut longer: Vec<Duration> =
            self.lengths.iter().copied().filter(|length| *length > lasted).collect();
        if longer.len() < LEAST {
            return None;
        }
        longer.sort_unstable();
        let place = (longer.len() as f64 * likelihood) as usize;
        longer.get(place).copied()
    }
}
