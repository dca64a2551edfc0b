//! What goes through the whole fleet each second, over the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Length of one part: long enough for what all controls collect to come in.
const PART: Duration = Duration::from_secs(1);
/// Time after the first request until their rate has shown: callers who hold no list yet come
/// within a second or two, and what they send is told within another.
const SETTLED: Duration = Duration::from_secs(5);
/// Span over which requests are counted. What is told comes in lots of half a second, and
/// callers that were kept waiting come all at once: the peak of a second named twice the
/// entries that the load asked for, each of which then sees half as much of the upstreams.
const SPAN: Duration = Duration::from_secs(8);

/// What goes through the whole fleet each second, over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// When the first came.
    since: Option<Moment>,
    parts: VecDeque<(Moment, u64)>,
}

impl Rate {
    /// Counts what came.
    pub fn add(&mut self, now: Moment, came: u64) {
        if came == 0 {
            return;
        }
        self.since.get_or_insert(now);
        match self.parts.back_mut() {
            Some((since, count)) if now < *since + PART => *count += came,
            _ => self.parts.push_back((now, came)),
        }
        while self.parts.front().is_some_and(|(since, _)| now >= *since + SPAN) {
            self.parts.pop_front();
        }
    }

    /// Whether some have come for so long that their rate has shown.
    pub fn is_known(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now >= since + SETTLED)
    }

    /// How much a second.
    pub fn mean(&self, now: Moment) -> f64 {
        let recent = self.parts.iter().filter(|(since, _)| now < *since + SPAN);
        let count: f64 = recent.map(|(_, count)| *count as f64).sum();
        let seen = self.since.map_or(PART, |since| now.saturating_sub(since));
        count / seen.clamp(PART, SPAN).as_secs_f64()
    }
}
