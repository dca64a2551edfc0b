use std::collections::VecDeque;
use std::time::Duration;

use super::Limits;
use crate::clock::Moment;

/// Number of buckets in a window.
const BUCKETS: u32 = 20;
/// Retries that a first attempt earns, as a part of those that a window allows for it. What first
/// attempts earn in a window may be spent in the next one, together with what others earn then.
const EARNED_PART: f64 = 0.5;
/// How long an earned retry can be spent, as a part of the window. The rest is for the way of a
/// request to this entry and of its retry to the upstream.
const LIFETIME_PART: f64 = 0.9;

/// Largest error of a sum of earned parts.
const ROUNDING: f64 = 1e-6;

/// Retry budget of one entry, out of what all entries may spend together in any window.
///
/// **Load pattern.** Every request to a service fails. Processes are killed in the midst of it and
/// know nothing of what was spent, callers move to other entries, and entries come and go.
///
/// **Without it.** If each entry may spend in any window a share of its own requests in that window,
/// a process that is killed and its successor both spend that share, and so do an entry that callers
/// leave and one that they move to.
///
/// **How.** A retry is paid with what earlier first attempts earned here, each of them once, and
/// within a window. All retries of a window are thus paid by first attempts of two windows, whoever
/// received them, and one that ends takes what it has not spent with it. The burst is a sliding count,
/// and no part of it belongs to a process that has just started.
#[derive(Clone, Debug)]
pub struct Window {
    burst_spent: VecDeque<(Moment, f64)>,
    earned: VecDeque<(Moment, f64)>,
    limits: Limits,
    now: Moment,
    /// Earned for requests that other entries handle, and spent before that was known.
    owed: f64,
    started_at: Option<Moment>,
}

impl Window {
    /// Creates a window in which nothing was earned or spent.
    pub fn new(limits: Limits) -> Self {
        Self {
            burst_spent: VecDeque::new(),
            earned: VecDeque::new(),
            limits,
            now: Moment::ZERO,
            owed: 0.0,
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
        // Rounded so that what was earned expires early and what was spent of the burst late.
        let lifetime = self.lifetime();
        while self.earned.front().is_some_and(|(at, _)| now >= *at + lifetime) {
            self.earned.pop_front();
        }
        let retention = self.window_length() + self.bucket_length();
        while self.burst_spent.front().is_some_and(|(at, _)| now >= *at + retention) {
            self.burst_spent.pop_front();
        }
    }

    /// Records the first attempt of a request that was received `waited` ago.
    pub fn record_first(&mut self, waited: Duration) {
        let earned = EARNED_PART * self.limits.share;
        let kept = (earned - self.owed).max(0.0);
        self.owed -= earned - kept;
        if waited < self.lifetime() {
            let bucket_length = self.bucket_length();
            add(&mut self.earned, self.now.saturating_sub(waited), bucket_length, kept);
        }
    }

    /// Takes back what a first attempt earned, because another entry handles its request.
    pub fn withdraw_first(&mut self) {
        let earned = EARNED_PART * self.limits.share;
        self.owed += earned - take(&mut self.earned, earned);
    }

    /// Pays for a retry or a hedge; returns `false` if the budget doesn't allow it.
    pub fn try_take(&mut self) -> bool {
        if self.remaining() < 1.0 - ROUNDING {
            return false;
        }
        let from_burst = 1.0 - take(&mut self.earned, 1.0);
        if from_burst > ROUNDING {
            let bucket_length = self.bucket_length();
            add(&mut self.burst_spent, self.now, bucket_length, from_burst);
        }
        true
    }

    /// Number of retries that the budget still allows.
    pub fn remaining(&self) -> f64 {
        sum(&self.earned) + (self.burst() - sum(&self.burst_spent)).max(0.0)
    }

    fn burst(&self) -> f64 {
        let is_young = self.started_at.is_none_or(|at| self.now < at + self.window_length());
        if is_young && !self.limits.is_first { 0.0 } else { self.limits.most }
    }

    /// How long an earned retry can be spent.
    fn lifetime(&self) -> Duration {
        self.window_length().mul_f64(LIFETIME_PART)
    }

    fn window_length(&self) -> Duration {
        self.limits.window.unwrap_or_default()
    }

    fn bucket_length(&self) -> Duration {
        self.window_length() / BUCKETS
    }
}

/// Adds to the bucket of a time, which may be older than the newest one.
fn add(buckets: &mut VecDeque<(Moment, f64)>, at: Moment, bucket_length: Duration, amount: f64) {
    let next = buckets.partition_point(|(since, _)| *since <= at);
    match next.checked_sub(1).and_then(|last| buckets.get_mut(last)) {
        Some((since, sum)) if at < *since + bucket_length => *sum += amount,
        _ => buckets.insert(next, (at, amount)),
    }
}

/// Takes at most `amount` from the oldest buckets; returns what was taken.
fn take(buckets: &mut VecDeque<(Moment, f64)>, amount: f64) -> f64 {
    let mut missing = amount;
    while let Some((_, sum)) = buckets.front_mut() {
        let taken = missing.min(*sum);
        *sum -= taken;
        missing -= taken;
        if *sum > 0.0 {
            break;
        }
        buckets.pop_front();
    }
    amount - missing
}

fn sum(buckets: &VecDeque<(Moment, f64)>) -> f64 {
    buckets.iter().map(|(_, amount)| amount).sum()
}
