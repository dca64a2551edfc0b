use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Buckets in a window: a request expires late by the length of one bucket at most.
const BUCKETS: u32 = 40;
/// Share of the window that is added to it, for clocks that run at different rates.
const CLOCK_DRIFT: f64 = 0.02;

/// Sliding count of the requests that passed within the last window.
#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    buckets: VecDeque<(Moment, u32)>,
    sum: u32,
}

impl Window {
    /// Creates an empty window.
    pub fn new(length: Duration) -> Self {
        Self { length, buckets: VecDeque::new(), sum: 0 }
    }

    /// Counts a request that passes now.
    pub fn add(&mut self, now: Moment) {
        self.sum += 1;
        let bucket_length = self.length / BUCKETS;
        match self.buckets.back_mut() {
            Some((at, count)) if now < *at + bucket_length => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    /// Removes a request that passed at `at` and did not run.
    pub fn remove(&mut self, at: Moment) {
        let bucket =
            self.buckets.iter_mut().rev().find(|(since, count)| *since <= at && *count > 0);
        if let Some((_, count)) = bucket {
            *count -= 1;
            self.sum -= 1;
        }
    }

    /// Drops expired buckets.
    pub fn roll(&mut self, now: Moment) {
        while let Some((at, count)) = self.buckets.front().copied() {
            if now < at + Self::retention(self.length) {
                break;
            }
            self.sum -= count;
            self.buckets.pop_front();
        }
    }

    /// Length of the window, without the drift.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Number of requests that passed and have not expired.
    pub fn sum(&self) -> u32 {
        self.sum
    }

    /// When the oldest request expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.buckets
            .iter()
            .find(|(_, count)| *count > 0)
            .map(|(at, _)| *at + Self::retention(self.length))
    }

    /// How long a request counts for a window of this length: the window plus the drift of a
    /// slow clock and the length of the bucket that the request was counted in.
    pub fn retention(length: Duration) -> Duration {
        length.mul_f64(1.0 + CLOCK_DRIFT) + length / BUCKETS
    }
}
