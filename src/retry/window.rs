use std::collections::VecDeque;
use std::time::Duration;

use super::Limits;
use crate::clock::Moment;

/// Number of buckets in a window. Attempts may be counted too long or too short by one bucket.
const BUCKETS: u32 = 20;
/// Share of the allowance in the first window after a start. The previous process may have spent
/// its whole allowance just before, which this one can't know.
const STARTUP_SHARE: f64 = 0.75;

/// Retry budget over a sliding time window.
///
/// A token bucket filled by requests can hold only a few tokens, or it would allow twice the share
/// in the window after a quiet one. Most of what a quiet second earns is thus lost, and of five
/// responses broken by one fault only one is retried. Counting over the window itself makes the
/// whole share available when it is needed.
#[derive(Clone, Debug)]
pub struct Window {
    firsts: VecDeque<(Moment, u32)>,
    limits: Limits,
    now: Moment,
    spent: VecDeque<(Moment, u32)>,
    started_at: Option<Moment>,
}

impl Window {
    /// Creates a window in which nothing was spent.
    pub fn new(limits: Limits) -> Self {
        Self {
            firsts: VecDeque::new(),
            limits,
            now: Moment::ZERO,
            spent: VecDeque::new(),
            started_at: None,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Advances the time to `now`.
    pub fn advance(&mut self, now: Moment) {
        self.now = now;
        self.started_at.get_or_insert(now);
        let (length, bucket_length) = (self.window_length(), self.bucket_length());
        // Rounded so that first attempts expire early and retries expire late.
        while self.firsts.front().is_some_and(|(at, _)| now >= *at + length) {
            self.firsts.pop_front();
        }
        while self.spent.front().is_some_and(|(at, _)| now >= *at + length + bucket_length) {
            self.spent.pop_front();
        }
    }

    /// Records a first attempt.
    pub fn record_first(&mut self) {
        let bucket_length = self.bucket_length();
        add(&mut self.firsts, self.now, bucket_length);
    }

    /// Pays for a retry or a hedge; returns `false` if the budget doesn't allow it.
    pub fn try_take(&mut self) -> bool {
        if self.remaining() < 1.0 {
            return false;
        }
        let bucket_length = self.bucket_length();
        add(&mut self.spent, self.now, bucket_length);
        true
    }

    /// Number of retries that the budget still allows.
    pub fn remaining(&self) -> f64 {
        self.allowance() - f64::from(sum(&self.spent))
    }

    fn allowance(&self) -> f64 {
        let earned = self.limits.share * f64::from(sum(&self.firsts));
        let is_young = self.started_at.is_none_or(|at| self.now < at + self.window_length());
        let is_restricted = is_young && !self.limits.is_first;
        if is_restricted { STARTUP_SHARE * earned } else { earned + self.limits.most }
    }

    fn window_length(&self) -> Duration {
        self.limits.window.unwrap_or_default()
    }

    fn bucket_length(&self) -> Duration {
        self.window_length() / BUCKETS
    }
}

fn add(buckets: &mut VecDeque<(Moment, u32)>, now: Moment, bucket_length: Duration) {
    match buckets.back_mut() {
        Some((at, count)) if now < *at + bucket_length => *count += 1,
        _ => buckets.push_back((now, 1)),
    }
}

fn sum(buckets: &VecDeque<(Moment, u32)>) -> u32 {
    buckets.iter().map(|(_, count)| count).sum()
}
