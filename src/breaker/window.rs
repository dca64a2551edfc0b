//! Counts over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use super::Counts;
use crate::clock::Moment;

/// Length of the window. At five requests a second of all entries it holds about a dozen
/// outcomes, and it is no longer than the shortest faults last.
const LENGTH: Duration = Duration::from_millis(2500);
/// Length of one bucket, the step by which the window moves.
const BUCKET: Duration = Duration::from_millis(125);

/// Counts over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    buckets: VecDeque<(Moment, Counts)>,
    /// Sum of all buckets, kept up to date because it is read for each upstream whenever one
    /// changes.
    sum: Counts,
}

impl Window {
    /// Adds counts received `now`.
    pub fn add(&mut self, now: Moment, counts: &Counts) {
        self.sum.add(counts);
        match self.buckets.back_mut() {
            Some((at, bucket)) if now < *at + BUCKET => bucket.add(counts),
            _ => self.buckets.push_back((now, *counts)),
        }
    }

    /// Drops buckets that have left the window.
    pub fn expire(&mut self, now: Moment) {
        while let Some((at, bucket)) = self.buckets.front().copied() {
            if now < at + LENGTH {
                break;
            }
            self.buckets.pop_front();
            self.sum.subtract(&bucket);
        }
    }

    /// Drops all buckets.
    pub fn clear(&mut self) {
        self.buckets.clear();
        self.sum = Counts::default();
    }

    /// Counts received at `from` or later.
    pub fn sum_since(&self, from: Moment) -> Counts {
        let mut sum = Counts::default();
        let buckets = self.buckets.iter().filter(|(at, _)| *at >= from);
        buckets.for_each(|(_, bucket)| sum.add(bucket));
        sum
    }

    /// Counts within the window that ends `now`.
    pub fn sum_at(&self, now: Moment) -> Counts {
        let mut sum = Counts::default();
        let buckets = self.buckets.iter().filter(|(at, _)| now < *at + LENGTH);
        buckets.for_each(|(_, bucket)| sum.add(bucket));
        sum
    }

    /// Counts of all buckets held.
    pub fn sum(&self) -> Counts {
        self.sum
    }
}
