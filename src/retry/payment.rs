//! What was paid for a retry or a hedge.

use crate::clock::Moment;

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
}
