//! Mean rate of the traffic through all entries.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Length of one bucket, long enough for the batches of all controls to arrive.
const BUCKET: Duration = Duration::from_secs(1);
/// Time from the first request until the mean is reliable. Callers without a list of entries
/// connect within one or two seconds, and their requests are reported within another.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time from the first request until the mean is at least [`EARLY_SHARE`] of the load: the first
/// callers have connected, and their first requests are reported.
const EARLY_TIME: Duration = Duration::from_secs(2);
/// Share of the load that is known after [`EARLY_TIME`].
const EARLY_SHARE: f64 = 0.25;
/// Window of the mean. Reports arrive in batches of half a second, and callers that had to wait
/// all connect at once. With the peak of one second, twice as many entries as the load required
/// were advertised, and each of them saw half as many answers of the upstreams.
const WINDOW: Duration = Duration::from_secs(8);

/// Mean amount per second over a sliding window, such as requests or bytes.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// When the first amount was added.
    first_at: Option<Moment>,
    buckets: VecDeque<(Moment, u64)>,
}

impl Rate {
    /// Adds an amount.
    pub fn add(&mut self, now: Moment, amount: u64) {
        if amount == 0 {
            return;
        }
        self.first_at.get_or_insert(now);
        match self.buckets.back_mut() {
            Some((start, count)) if now < *start + BUCKET => *count += amount,
            _ => self.buckets.push_back((now, amount)),
        }
        while self.buckets.front().is_some_and(|(start, _)| now >= *start + BUCKET + WINDOW) {
            self.buckets.pop_front();
        }
    }

    /// Whether amounts have been added for long enough to make the mean reliable.
    pub fn is_known(&self, now: Moment) -> bool {
        self.first_at.is_some_and(|first_at| now >= first_at + SETTLING_TIME)
    }

    /// Most that the amount per second may be; `None` while too little is known.
    pub fn bound(&self, now: Moment) -> Option<f64> {
        if self.is_known(now) {
            return Some(self.mean(now));
        }
        let is_early = self.first_at.is_some_and(|first_at| now >= first_at + EARLY_TIME);
        is_early.then(|| self.mean(now) / EARLY_SHARE)
    }

    /// Mean amount per second over the window. Of the oldest bucket, the part within the window
    /// counts: dropped as a whole, it would change the mean by an eighth each second.
    pub fn mean(&self, now: Moment) -> f64 {
        let part = |start: Moment| {
            let left = (start + BUCKET + WINDOW).saturating_sub(now).min(BUCKET);
            left.as_secs_f64() / BUCKET.as_secs_f64()
        };
        let total: f64 =
            self.buckets.iter().map(|(start, count)| part(*start) * *count as f64).sum();
        let elapsed = self.first_at.map_or(BUCKET, |first_at| now.saturating_sub(first_at));
        total / elapsed.clamp(BUCKET, WINDOW).as_secs_f64()
    }
}
