use std::collections::VecDeque;
use std::time::Duration;

use super::Limits;
use super::payment;
use super::payment::Payment;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Number of buckets in a window.
const BUCKETS: u32 = 20;
/// Retries that a first attempt earns, as a part of those that a window allows for it. What first
/// attempts earn in a window may be spent in the next one, together with what others earn then.
const EARNED_PART: f64 = 0.5;
/// How long an earned retry can be spent, as a part of the window. The rest is for the way of a
/// request to this entry and of its retry to the upstream.
const LIFETIME_PART: f64 = 0.9;
/// How long a copy that gave no sign of arriving may be on its way, as a part of the window.
const DELIVERY_PART: f64 = 0.9;
/// Longest standstill of an upstream after which it may read what it was sent before, in windows.
const STANDSTILL_WINDOWS: u32 = 6;

/// Largest error of a sum of earned parts.
const ROUNDING: f64 = 1e-6;

/// Retries by the time of the first one in a bucket.
type Bucket = (Moment, f64);
type Buckets = VecDeque<Bucket>;

/// What was taken from buckets, and the time of the oldest one of them.
struct Taken {
    amount: f64,
    oldest: Option<Moment>,
}

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
///
/// A retry counts when it arrives, which may be long after it was sent. So a payment stays open until
/// its copies have arrived or can't arrive any more: what it took of the burst stays spent, and what
/// it took of the earned is paid again once a window has passed since that was earned. An upstream that
/// stands still reads what it was sent when it goes on, also from connections that were closed since:
/// payments for copies that it holds stay open until it has answered a later request.
#[derive(Clone, Debug)]
pub struct Window {
    /// Retries paid for with the burst that were not reported yet.
    burst_paid: f64,
    burst_spent: Buckets,
    earned: Buckets,
    limits: Limits,
    now: Moment,
    /// Payments whose copies may still arrive, in order.
    open: VecDeque<Payment>,
    /// Earned for requests that other entries handle, or for payments that were to be paid again, and
    /// spent before.
    owed: f64,
    payments: payment::Number,
    started_at: Option<Moment>,
}

impl Window {
    /// Creates a window in which nothing was earned or spent.
    pub fn new(limits: Limits) -> Self {
        Self {
            burst_paid: 0.0,
            burst_spent: VecDeque::new(),
            earned: VecDeque::new(),
            limits,
            now: Moment::ZERO,
            open: VecDeque::new(),
            owed: 0.0,
            payments: 0,
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
        let delivery = self.window_length().mul_f64(DELIVERY_PART);
        let standstill = self.window_length() * STANDSTILL_WINDOWS;
        let is_over = |payment: &Payment| {
            let longest = if payment.is_held() { standstill } else { delivery };
            now >= payment.at + longest
        };
        while let Some(position) = self.open.iter().position(is_over) {
            let payment = self.open.remove(position);
            payment.into_iter().for_each(|payment| self.close(&payment));
        }
        self.renew();
    }

    /// Records the first attempt of a request that was received `waited` ago.
    pub fn record_first(&mut self, waited: Duration) {
        let earned = EARNED_PART * self.limits.share;
        let kept = (earned - self.owed).max(0.0);
        self.owed -= earned - kept;
        if waited < self.lifetime() {
            let at = self.now.saturating_sub(waited);
            let kept = self.renew_held(at, kept);
            let bucket_length = self.bucket_length();
            add(&mut self.earned, at, bucket_length, kept);
        }
    }

    /// Takes back what a first attempt earned, because another entry handles its request.
    pub fn withdraw_first(&mut self) {
        let earned = EARNED_PART * self.limits.share;
        self.owed += earned - take_oldest(&mut self.earned, earned).amount;
    }

    /// Pays for a retry; `None` if the budget doesn't allow it.
    pub fn try_take(&mut self) -> Option<payment::Number> {
        self.pay(take_oldest)
    }

    /// Pays for a hedge; `None` if the budget doesn't allow it. The slower one of two copies seldom
    /// gives a sign, so it is paid with what would have to be paid again latest.
    pub fn try_take_hedge(&mut self) -> Option<payment::Number> {
        self.pay(take_newest)
    }

    /// Settles a payment of which no copy can arrive any more.
    pub fn settle(&mut self, number: payment::Number) {
        let found = self.open.binary_search_by_key(&number, |payment| payment.number);
        let payment = found.ok().and_then(|position| self.open.remove(position));
        payment.into_iter().for_each(|payment| self.close(&payment));
    }

    /// Keeps a payment open, as these upstreams may hold copies that were given up.
    pub fn hold(&mut self, number: payment::Number, silent: Vec<UpstreamId>) {
        let found = self.open.binary_search_by_key(&number, |payment| payment.number);
        if let Some(payment) = found.ok().and_then(|position| self.open.get_mut(position)) {
            payment.given_up_at = self.now;
            payment.silent = silent;
        }
    }

    /// Records that an upstream answered a request that was sent at `sent_at`: it has read what it was
    /// sent before.
    pub fn record_sign(&mut self, upstream: &UpstreamId, sent_at: Moment) {
        let earlier = self.open.iter_mut().filter(|payment| payment.given_up_at < sent_at);
        earlier.for_each(|payment| payment.silent.retain(|silent| silent != upstream));
    }

    /// Whether payments stay open as an upstream may hold copies that were given up.
    pub fn is_held_by(&self, upstream: &UpstreamId) -> bool {
        self.open.iter().any(|payment| payment.silent.contains(upstream))
    }

    /// Number of retries that the budget still allows.
    pub fn remaining(&self) -> f64 {
        let open: f64 = self.open.iter().map(|payment| payment.burst).sum();
        sum(&self.earned) + (self.burst() - sum(&self.burst_spent) - open).max(0.0)
    }

    /// Retries that were paid for with the burst since the last call.
    pub fn take_burst_paid(&mut self) -> f64 {
        std::mem::take(&mut self.burst_paid)
    }

    fn pay(&mut self, take: fn(&mut Buckets, f64) -> Taken) -> Option<payment::Number> {
        if self.remaining() < 1.0 - ROUNDING {
            return None;
        }
        let Taken { amount, oldest } = take(&mut self.earned, 1.0);
        let burst = if amount < 1.0 - ROUNDING { 1.0 - amount } else { 0.0 };
        self.burst_paid += burst;
        self.payments += 1;
        let earned_at = oldest.unwrap_or(self.now);
        self.open.push_back(Payment {
            at: self.now,
            burst,
            earned: amount,
            earned_at,
            number: self.payments,
            silent: Vec::new(),
            given_up_at: self.now,
            renewal: (0.0, self.now),
        });
        Some(self.payments)
    }

    fn close(&mut self, payment: &Payment) {
        if self.now >= payment.earned_at + self.window_length() {
            self.owed += payment.earned - payment.renewal.0;
        }
        if payment.burst > 0.0 {
            let bucket_length = self.bucket_length();
            add(&mut self.burst_spent, self.now, bucket_length, payment.burst);
        }
    }

    /// Pays again for payments whose copies upstreams may hold, before anything else is paid with what
    /// was earned at `at`: they may all arrive at once. Returns what is left of `earned`.
    fn renew_held(&mut self, at: Moment, earned: f64) -> f64 {
        let (now, half) = (self.now, self.window_length() / 2);
        let is_due = |payment: &&mut Payment| {
            payment.is_held() && payment.earned > 0.0 && now >= payment.earned_at + half
        };
        let due = self.open.iter_mut().filter(is_due);
        due.fold(earned, |left, payment| payment.renew(left, at))
    }

    /// Pays again for open payments with what was earned too long ago. What is missing is owed.
    fn renew(&mut self) {
        let (now, window) = (self.now, self.window_length());
        for payment in self.open.iter_mut().filter(|payment| !payment.is_held()) {
            if payment.earned <= 0.0 || now < payment.earned_at + window {
                continue;
            }
            let Taken { amount, oldest } = take_newest(&mut self.earned, payment.earned);
            self.owed += payment.earned - amount;
            payment.earned = amount;
            payment.earned_at = oldest.unwrap_or(now);
        }
    }

    fn burst(&self) -> f64 {
        let is_young = self.started_at.is_none_or(|at| self.now < at + self.window_length());
        if is_young { 0.0 } else { self.limits.most }
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
fn add(buckets: &mut Buckets, at: Moment, bucket_length: Duration, amount: f64) {
    let next = buckets.partition_point(|(since, _)| *since <= at);
    match next.checked_sub(1).and_then(|last| buckets.get_mut(last)) {
        Some((since, sum)) if at < *since + bucket_length => *sum += amount,
        _ => buckets.insert(next, (at, amount)),
    }
}

/// Takes at most `amount` from the oldest buckets.
fn take_oldest(buckets: &mut Buckets, amount: f64) -> Taken {
    take(buckets, amount, VecDeque::front_mut, VecDeque::pop_front)
}

/// Takes at most `amount` from the newest buckets.
fn take_newest(buckets: &mut Buckets, amount: f64) -> Taken {
    take(buckets, amount, VecDeque::back_mut, VecDeque::pop_back)
}

fn take(
    buckets: &mut Buckets,
    amount: f64,
    next: fn(&mut Buckets) -> Option<&mut Bucket>,
    remove: fn(&mut Buckets) -> Option<Bucket>,
) -> Taken {
    let mut taken = Taken { amount: 0.0, oldest: None };
    while taken.amount < amount
        && let Some((since, left)) = next(buckets)
    {
        let part = (amount - taken.amount).min(*left);
        *left -= part;
        taken.amount += part;
        taken.oldest = Some(taken.oldest.map_or(*since, |oldest| oldest.min(*since)));
        if *left > 0.0 {
            break;
        }
        remove(buckets);
    }
    taken
}

fn sum(buckets: &Buckets) -> f64 {
    buckets.iter().map(|(_, amount)| amount).sum()
}
