//! Requests a second of the whole fleet, over the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Length of one part: long enough for what all controls collect to come in.
const PART: Duration = Duration::from_secs(1);
/// How long a peak counts: callers keep lists for some seconds.
const MEMORY: Duration = Duration::from_secs(20);

/// Requests a second of the whole fleet, over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    parts: VecDeque<(Moment, u32)>,
}

impl Rate {
    /// Counts requests that ended.
    pub fn add(&mut self, now: Moment, ended: u32) {
        match self.parts.back_mut() {
            Some((since, count)) if now < *since + PART => *count += ended,
            _ => self.parts.push_back((now, ended)),
        }
        while self.parts.front().is_some_and(|(since, _)| now >= *since + MEMORY) {
            self.parts.pop_front();
        }
    }

    /// The most requests of one second.
    pub fn peak(&self, now: Moment) -> f64 {
        let recent = self.parts.iter().filter(|(since, _)| now < *since + MEMORY);
        recent.map(|(_, count)| f64::from(*count)).fold(0.0, f64::max) / PART.as_secs_f64()
    }
}
