//! What was paid for a retry or a hedge.

use crate::clock::Moment;
use crate::id::UpstreamId;

/// Number of a payment at one entry, for one service.
pub type Number = u64;

/// What was paid for a retry or a hedge whose request may still reach an upstream once more.
#[derive(Clone, Debug)]
pub(super) struct Payment {
    /// When the copy was paid for.
    pub(super) at: Moment,
    /// Part paid from the burst.
    pub(super) burst: f64,
    /// Part paid from what first attempts earned.
    pub(super) earned: f64,
    /// When the oldest of that was earned.
    pub(super) earned_at: Moment,
    pub(super) number: Number,
    /// Upstreams that have not been seen to run since its copies were given up.
    pub(super) silent: Vec<UpstreamId>,
    /// When its copies were given up.
    pub(super) given_up_at: Moment,
    /// What was set aside to pay the earned part again, and when the oldest of that was earned.
    pub(super) renewal: (f64, Moment),
}

impl Payment {
    /// Whether an upstream may hold a copy of it that was given up.
    pub(super) fn is_held(&self) -> bool {
        !self.silent.is_empty()
    }

    /// Sets aside at most `amount`, earned at `at`, to pay the earned part again; returns what is left.
    pub(super) fn renew(&mut self, amount: f64, at: Moment) -> f64 {
        let (saved, since) = self.renewal;
        let since = if saved > 0.0 { since } else { at };
        let part = amount.min(self.earned - saved);
        self.renewal = (saved + part, since);
        if self.renewal.0 >= self.earned {
            self.earned_at = since;
            self.renewal = (0.0, since);
        }
        amount - part
    }
}
