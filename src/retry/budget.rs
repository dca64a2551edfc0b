use std::time::Duration;

use super::Limits;
use super::Window;
use super::payment;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Tokens that a first attempt adds, and maximum number of saved tokens. Over any 40 requests of an
/// entry, about a second at 45 per second, there are thus at most 1 + 0.05 + 2/40 = 1.1 attempts
/// per request. All entries spend their saved tokens at once when a failure starts; with a hundred
/// each, that alone would be a retry storm.
const TOKENS_PER_FIRST: f64 = 0.05;
const CAPACITY: f64 = 2.0;

/// Budget of one entry for retries and hedges to one service, as a share of first attempts. A
/// maximum number of attempts per request doesn't bound the load: when every request fails, it
/// multiplies the load just when capacity is lowest.
#[derive(Clone, Debug)]
pub enum Budget {
    /// Token bucket: few retries are saved up, independent of time.
    Bucket {
        /// Tokens that a first attempt adds.
        share: f64,
        /// Maximum number of saved tokens.
        capacity: f64,
        /// Current number of tokens.
        tokens: f64,
    },
    /// Counts all attempts within a sliding time window.
    Window(Window),
}

impl Default for Budget {
    fn default() -> Self {
        Self::Bucket { share: TOKENS_PER_FIRST, capacity: CAPACITY, tokens: CAPACITY }
    }
}

impl Budget {
    /// Replaces the limits. Tokens saved under other terms are dropped; a process that restarts
    /// often would spend them again each time.
    pub fn set_limits(&mut self, limits: Limits) {
        match self {
            Self::Window(window) if limits.window.is_some() => window.set_limits(limits),
            _ if limits.window.is_some() => *self = Self::Window(Window::new(limits)),
            Self::Bucket { share, capacity, tokens } if *share == limits.share => {
                *capacity = limits.most;
                *tokens = tokens.min(limits.most);
            }
            _ => *self = Self::Bucket { share: limits.share, capacity: limits.most, tokens: 0.0 },
        }
    }

    /// Advances the time to `now`.
    pub fn advance(&mut self, now: Moment) {
        if let Self::Window(window) = self {
            window.advance(now);
        }
    }

    /// Records the first attempt of a request that was received `waited` ago.
    pub fn record_first(&mut self, waited: Duration) {
        match self {
            Self::Bucket { share, capacity, tokens } => *tokens = (*tokens + *share).min(*capacity),
            Self::Window(window) => window.record_first(waited),
        }
    }

    /// Takes back what a first attempt earned.
    pub fn withdraw_first(&mut self) {
        match self {
            Self::Bucket { share, tokens, .. } => *tokens -= *share,
            Self::Window(window) => window.withdraw_first(),
        }
    }

    /// Number of retries that the budget still allows.
    pub fn remaining(&self) -> f64 {
        match self {
            Self::Bucket { tokens, .. } => *tokens,
            Self::Window(window) => window.remaining(),
        }
    }

    /// Pays for a retry; `None` if the budget doesn't allow it.
    pub fn try_take(&mut self) -> Option<payment::Number> {
        match self {
            Self::Bucket { tokens, .. } => try_take_token(tokens),
            Self::Window(window) => window.try_take(),
        }
    }

    /// Pays for a hedge; `None` if the budget doesn't allow it.
    pub fn try_take_hedge(&mut self) -> Option<payment::Number> {
        match self {
            Self::Bucket { tokens, .. } => try_take_token(tokens),
            Self::Window(window) => window.try_take_hedge(),
        }
    }

    /// Retries that were paid for with the burst since the last call.
    pub fn take_burst_paid(&mut self) -> f64 {
        match self {
            Self::Bucket { .. } => 0.0,
            Self::Window(window) => window.take_burst_paid(),
        }
    }

    /// Keeps a payment open, as these upstreams may hold copies that were given up.
    pub fn hold(&mut self, number: payment::Number, silent: Vec<UpstreamId>) {
        if let Self::Window(window) = self {
            window.hold(number, silent);
        }
    }

    /// Records that an upstream answered a request that was sent at `sent_at`.
    pub fn record_sign(&mut self, upstream: &UpstreamId, sent_at: Moment) {
        if let Self::Window(window) = self {
            window.record_sign(upstream, sent_at);
        }
    }

    /// Whether payments stay open as an upstream may hold copies that were given up.
    pub fn is_held_by(&self, upstream: &UpstreamId) -> bool {
        matches!(self, Self::Window(window) if window.is_held_by(upstream))
    }

    /// Settles a payment of which no copy can arrive any more.
    pub fn settle(&mut self, number: payment::Number) {
        if let Self::Window(window) = self {
            window.settle(number);
        }
    }
}

/// Takes a token, if there is one. Payments of a bucket are never open, so they need no number.
fn try_take_token(tokens: &mut f64) -> Option<payment::Number> {
    if *tokens < 1.0 {
        return None;
    }
    *tokens -= 1.0;
    Some(0)
}
