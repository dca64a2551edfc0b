//! Rate at which one entry sends to an upstream.

use crate::clock::Moment;

/// Requests that may be sent at once after a pause. More would let entries exceed the limit of an
/// upstream when it changes from one entry to another.
const MAX_TOKENS: f64 = 1.0;

/// Token bucket for the requests of one entry to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttle {
    rate: f64,
    tokens: f64,
    updated_at: Moment,
}

impl Throttle {
    /// Creates an empty bucket, since requests may just have been sent without one.
    pub(crate) fn new(now: Moment, rate: f64) -> Self {
        Self { rate, tokens: 0.0, updated_at: now }
    }

    /// Sets the requests per second from now on.
    pub(crate) fn set_rate(&mut self, now: Moment, rate: f64) {
        self.tokens = self.tokens(now);
        self.updated_at = now;
        self.rate = rate;
    }

    /// Whether a request may be sent.
    pub(crate) fn has_token(&self, now: Moment) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: Moment) {
        self.tokens = (self.tokens(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    fn tokens(&self, now: Moment) -> f64 {
        let gained = now.saturating_sub(self.updated_at).as_secs_f64() * self.rate;
        (self.tokens + gained).min(MAX_TOKENS)
    }
}
