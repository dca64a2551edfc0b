use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http_types::Response;

use super::Leg;

/// An upstream's answer: its head, and a body that is whole or still coming.
pub struct Answer {
    /// Head, and body to be read.
    pub response: Response,
    pub(super) broken: Arc<AtomicBool>,
    pub(super) complete: Arc<AtomicBool>,
    pub(super) keep: bool,
    pub(super) leg: Leg,
    pub(super) sent: bool,
}

impl Answer {
    /// Whether the body broke off at the upstream's end.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Acquire)
    }

    /// Whether it came before the whole request was sent.
    pub fn is_early(&self) -> bool {
        !self.sent
    }

    /// Whether the body has been read to its exact end.
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::Acquire)
    }

    /// Gives the connection back if it may carry another request: its exchange ended at
    /// the exact byte, and both ends mean to keep it. Any other is closed, because what
    /// is left of this answer would reach the next caller.
    pub fn release(self) -> Option<Leg> {
        let clean = self.is_complete() && self.keep && self.sent && !self.leg.has_early();
        if clean {
            return Some(self.leg);
        }
        self.leg.close();
        None
    }
}
