//! Rate at which an entry picks upstreams.

use std::time::Duration;

use crate::clock::Moment;

/// Span over which picks are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Rate of picks, counted over the current and the last span.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PickRate {
    count: u32,
    last: u32,
    since: Moment,
}

impl PickRate {
    /// Counts a pick.
    pub(crate) fn add(&mut self, now: Moment) {
        let age = now.saturating_sub(self.since);
        if age >= SPAN {
            self.last = if age < 2 * SPAN { self.count } else { 0 };
            self.count = 0;
            self.since = now;
        }
        self.count += 1;
    }

    /// Picks per second in the last span and the current one.
    pub(crate) fn per_second(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.since);
        match age {
            _ if age >= 2 * SPAN => 0.0,
            _ if age >= SPAN => f64::from(self.count) / age.as_secs_f64(),
            _ => f64::from(self.last + self.count) / (SPAN + age).as_secs_f64(),
        }
    }
}
