use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Attempt;
use super::Budget;
use super::Decide;
use super::Decision;
use super::Hedge;
use super::Latency;
use super::Limits;
use super::Usage;
use super::payment;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Longest backoff before the second attempt; doubles with each further one. Long compared to the 1
/// ms of a new connection, short compared to any deadline.
const BACKOFF_FIRST_MAX: Duration = Duration::from_millis(10);
/// Maximum number of doublings.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// Maximum number of attempts per request. A request that fails at several upstreams in a row is
/// probably at fault itself, and the budget is shared by all requests.
const TRIES_MAX: u32 = 4;

/// Retries that must remain before a request may probe a failing upstream. Nine in ten such
/// requests are retried, and one that can't be is lost. With a third of 508 upstreams failing and
/// no reserve, all lookups were used as probes and one in fourteen was lost.
const SPARE_RETRIES_MIN: f64 = 2.0;

/// Decides about retries and hedges for one service in one entry.
#[derive(Clone, Debug)]
pub struct Policy {
    budget: Budget,
    free_connects: bool,
    hedge: Hedge,
    latency: Latency,
    paid: Option<payment::Number>,
    rng: ChaCha8Rng,
    usage: Usage,
}

impl Policy {
    /// Creates a policy; `rng` jitters the backoff.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            budget: Budget::default(),
            free_connects: false,
            hedge: Hedge::default(),
            latency: Latency::default(),
            paid: None,
            rng,
            usage: Usage::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.free_connects = limits.free_connects;
        self.budget.set_limits(limits);
    }

    /// Advances the time to `now`. Must be called before any other method.
    pub fn advance(&mut self, now: Moment) {
        self.budget.advance(now);
    }

    /// Records the first attempt of a request that was received `waited` ago.
    pub fn record_first(&mut self, waited: Duration) {
        self.usage.firsts += 1;
        self.budget.record_first(waited);
        self.hedge.record_first();
    }

    /// Takes back what [`Self::record_first`] recorded, because another entry handles the request.
    pub fn withdraw_first(&mut self) {
        self.usage.firsts = self.usage.firsts.saturating_sub(1);
        self.budget.withdraw_first();
    }

    /// Decides what follows a failed attempt.
    pub fn decide(&mut self, attempt: &Attempt) -> Decision {
        self.paid = None;
        let stop = Decision::Stop { answer: attempt.answer() };
        let is_exhausted = attempt.tries >= TRIES_MAX || attempt.sends >= attempt.limit;
        if !attempt.is_retryable() || is_exhausted {
            return stop;
        }
        let after = self.backoff(attempt);
        // A retry that can't finish in time only adds load.
        let median = self.latency.median().unwrap_or_default();
        let is_free = self.free_connects && !attempt.sent;
        if attempt.remaining <= after + median || !(is_free || self.pay(Budget::try_take)) {
            return stop;
        }
        self.usage.free += u32::from(is_free);
        Decision::Again { after }
    }

    /// Whether enough retries remain to risk a request on a failing upstream.
    pub fn has_spare_retries(&self) -> bool {
        self.budget.remaining() >= SPARE_RETRIES_MIN
    }

    /// Records that a complete response took `time` since the start of its attempt.
    pub fn record_latency(&mut self, time: Duration) {
        self.latency.record(time);
    }

    /// Delay after the start of the first attempt at which an idempotent lookup may be hedged;
    /// `None` while hedges are suspended or latency is unknown.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.hedge.is_enabled().then(|| self.latency.p95()).flatten()
    }

    /// Time within which nineteen of twenty complete responses came; `None` while it is unknown.
    pub fn usual_latency(&self) -> Option<Duration> {
        self.latency.p95()
    }

    /// Whether to send a hedge now, with `remaining` time left. If `true`, the budget has been
    /// charged and [`Self::record_hedge`] must follow.
    pub fn try_hedge(&mut self, remaining: Duration) -> bool {
        let median = self.latency.median().unwrap_or_default();
        self.hedge.is_enabled() && remaining > median && self.pay(Budget::try_take_hedge)
    }

    /// Takes the payment that the last decision made, if it made one.
    pub fn take_payment(&mut self) -> Option<payment::Number> {
        self.paid.take()
    }

    /// Settles a payment of which no copy can arrive any more. Without it, a payment is open for the
    /// longest time that a copy may be on its way.
    pub fn settle(&mut self, number: payment::Number) {
        self.budget.settle(number);
    }

    /// Keeps a payment open until these upstreams have been seen to run again: they may hold copies that
    /// were given up.
    pub fn hold(&mut self, number: payment::Number, silent: Vec<UpstreamId>) {
        self.budget.hold(number, silent);
    }

    /// Records that an upstream answered a request that was sent at `sent_at`.
    pub fn record_sign(&mut self, upstream: &UpstreamId, sent_at: Moment) {
        self.budget.record_sign(upstream, sent_at);
    }

    /// Whether payments stay open as an upstream may hold copies that were given up.
    pub fn is_held_by(&self, upstream: &UpstreamId) -> bool {
        self.budget.is_held_by(upstream)
    }

    /// Records whether the hedge responded first.
    pub fn record_hedge(&mut self, won: bool) {
        self.hedge.record(won);
    }

    /// Takes the counts since the last call.
    pub fn take_usage(&mut self) -> Usage {
        Usage { burst: self.budget.take_burst_paid(), ..std::mem::take(&mut self.usage) }
    }

    /// Retries that the budget still allows.
    pub fn remaining(&self) -> f64 {
        self.budget.remaining()
    }

    fn pay(&mut self, take: fn(&mut Budget) -> Option<payment::Number>) -> bool {
        self.paid = take(&mut self.budget);
        let is_taken = self.paid.is_some();
        self.usage.paid += u32::from(is_taken);
        self.usage.denied += u32::from(!is_taken);
        is_taken
    }

    /// Delay before the next attempt. There is none before the second attempt of a request that did
    /// not run: only one upstream was full or unreachable, and another may be free. Otherwise it is
    /// random, so that requests that failed together aren't retried together.
    fn backoff(&mut self, attempt: &Attempt) -> Duration {
        if attempt.tries <= 1 && attempt.is_not_run() {
            return Duration::ZERO;
        }
        let doublings = attempt.tries.saturating_sub(1).min(BACKOFF_DOUBLINGS_MAX);
        let longest = BACKOFF_FIRST_MAX * 2_u32.pow(doublings);
        longest.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

impl Decide for Policy {
    fn decide(&mut self, attempt: &Attempt) -> Decision {
        self.decide(attempt)
    }

    fn record_first(&mut self) {
        self.record_first(Duration::ZERO);
    }
}
