use std::time::Duration;

use crate::clock::Moment;

/// Accumulated evidence that one upstream has one fault.
///
/// Holds a CUSUM for this entry alone, and signed sums over a few windows, which
/// can be added up over entries.
#[derive(Clone, Debug)]
pub struct Evidence {
    buckets: [f32; Self::BUCKETS],
    /// Bucket of the last outcome, if any.
    last: Option<u64>,
    newest: u64,
    cusum: f64,
}

impl Evidence {
    /// Number of buckets in the ring.
    const BUCKETS: usize = 64;
    /// Upper bound of the CUSUM, in nats. An upstream that the floor kept in
    /// service and that recovers clears its evidence within a few dozen successes.
    const MAX_CUSUM: f64 = 30.0;
    /// Length of a bucket.
    const BUCKET_LENGTH: Duration = Duration::from_millis(250);
    /// Windows, in buckets. The shortest detects a total failure fastest, the
    /// longest a partial failure at a low request rate.
    pub const WINDOWS: [usize; 5] = [2, 4, 8, 16, 64];

    /// Adds the log-likelihood ratio of one outcome, in nats.
    pub fn add(&mut self, now: Moment, step: f64) {
        self.roll(now);
        self.cusum = (self.cusum + step).clamp(0.0, Self::MAX_CUSUM);
        let slot = Self::slot(self.newest);
        self.buckets[slot] += step as f32;
        self.last = Some(self.newest);
    }

    /// Whether there was no outcome within the longest window.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.last.is_none_or(|last| last + Self::BUCKETS as u64 <= self.newest)
    }

    /// Clears all sums; the current bucket's number stays.
    pub fn reset(&mut self) {
        *self = Self { newest: self.newest, ..Self::default() };
    }

    /// Moves on to the bucket of `now` and clears the expired ones.
    pub fn roll(&mut self, now: Moment) {
        let current = (now.as_millis() / Self::BUCKET_LENGTH.as_millis()) as u64;
        let passed = current.saturating_sub(self.newest).min(Self::BUCKETS as u64);
        for step in 1..=passed {
            let slot = Self::slot(current - passed + step);
            self.buckets[slot] = 0.0;
        }
        self.newest = self.newest.max(current);
    }

    /// The CUSUM, in nats.
    #[must_use]
    pub fn cusum(&self) -> f64 {
        self.cusum
    }

    /// Signed sums over [`Self::WINDOWS`], in nats.
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
        Self { buckets: [0.0; Self::BUCKETS], last: None, newest: 0, cusum: 0.0 }
    }
}
