use std::time::Duration;

use crate::clock::Moment;

/// Running evidence against one upstream in one respect.
///
/// A CUSUM for this entry alone, and signed sums over a few windows, which add
/// up over entries.
#[derive(Clone, Debug)]
pub struct Evidence {
    buckets: [f32; Self::BUCKETS],
    /// Bucket of the last outcome, if any.
    last: Option<u64>,
    newest: u64,
    sum: f64,
}

impl Evidence {
    /// Buckets kept.
    const BUCKETS: usize = 64;
    /// Most that the CUSUM holds, in nats: lets an upstream that recovered under
    /// the floor lose its evidence within a few dozen successes.
    const CEILING: f64 = 30.0;
    /// Length of a bucket.
    const LENGTH: Duration = Duration::from_millis(250);
    /// Windows, in buckets: the shortest finds a total failure at once, the
    /// longest a partial one at a low rate.
    pub const WINDOWS: [usize; 5] = [2, 4, 8, 16, 64];

    /// Adds the log-likelihood ratio of one outcome.
    pub fn add(&mut self, now: Moment, step: f64) {
        self.roll(now);
        self.sum = (self.sum + step).clamp(0.0, Self::CEILING);
        let slot = Self::slot(self.newest);
        self.buckets[slot] += step as f32;
        self.last = Some(self.newest);
    }

    /// Whether no outcome lies within the longest window.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last.is_none_or(|last| last + Self::BUCKETS as u64 <= self.newest)
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        *self = Self { newest: self.newest, ..Self::default() };
    }

    /// Drops buckets that are too old.
    pub fn roll(&mut self, now: Moment) {
        let current = (now.as_millis() / Self::LENGTH.as_millis()) as u64;
        let passed = current.saturating_sub(self.newest).min(Self::BUCKETS as u64);
        for step in 1..=passed {
            let slot = Self::slot(current - passed + step);
            self.buckets[slot] = 0.0;
        }
        self.newest = self.newest.max(current);
    }

    /// The CUSUM, in nats.
    #[must_use]
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// Signed sums over [`Self::WINDOWS`].
    #[must_use]
    pub fn windows(&self) -> [f64; 5] {
        Self::WINDOWS.map(|length| self.window(length))
    }

    fn slot(bucket: u64) -> usize {
        (bucket % Self::BUCKETS as u64) as usize
    }

    fn window(&self, length: usize) -> f64 {
        let oldest = (self.newest + 1).saturating_sub(length as u64);
        (oldest..=self.newest).map(|bucket| f64::from(self.buckets[Self::slot(bucket)])).sum()
    }
}

impl Default for Evidence {
    fn default() -> Self {
        Self { buckets: [0.0; Self::BUCKETS], last: None, newest: 0, sum: 0.0 }
    }
}
