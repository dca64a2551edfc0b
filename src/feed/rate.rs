//! Requests a second of the whole fleet, over the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Length of one part: long enough for what all controls collect to come in.
const PART: Duration = Duration::from_secs(1);
/// Time after the first request until a peak has shown: callers who hold no list yet come
/// within a second or two, and what they send is told within another.
const SETTLED: Duration = Duration::from_secs(5);
/// How long a peak counts: callers keep lists for some seconds.
const MEMORY: Duration = Duration::from_secs(20);

/// Requests a second of the whole fleet, over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// When the first request came.
    since: Option<Moment>,
    parts: VecDeque<(Moment, u32)>,
}

impl Rate {
    /// Counts requests that came.
    pub fn add(&mut self, now: Moment, came: u32) {
        if came == 0 {
            return;
        }
        self.since.get_or_insert(now);
        match self.parts.back_mut() {
            Some((since, count)) if now < *since + PART => *count += came,
            _ => self.parts.push_back((now, came)),
        }
        while self.parts.front().is_some_and(|(since, _)| now >= *since + MEMORY) {
            self.parts.pop_front();
        }
    }

    /// Whether requests have come for so long that a peak has shown.
    pub fn is_known(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now >= since + SETTLED)
    }

    /// The most requests of one second.
    pub fn peak(&self, now: Moment) -> f64 {
        let recent = self.parts.iter().filter(|(since, _)| now < *since + MEMORY);
        recent.map(|(_, count)| f64::from(*count)).fold(0.0, f64::max) / PART.as_secs_f64()
    }
}
