//! An upstream's answer, and the connection that it came on.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use super::Connection;
use super::Exact;
use super::Response;

/// An upstream's answer: its head, and a body that is whole or still coming.
pub struct Answer {
    /// Head, and body to be read.
    pub response: Response,
    pub(super) ending: Ending,
    pub(super) connection: Connection,
    pub(super) sent: bool,
}

/// How an answer's body came to its end.
pub(super) struct Ending {
    broken: Arc<AtomicBool>,
    complete: Arc<AtomicBool>,
    keep: bool,
}

impl Ending {
    pub(super) fn new(exact: &Exact, keep: bool) -> Self {
        Self { broken: exact.broken(), complete: exact.complete(), keep }
    }
}

impl Answer {
    /// Whether the body broke off at the upstream's end.
    pub fn is_broken(&self) -> bool {
        self.ending.broken.load(Ordering::Acquire)
    }

    /// Whether it came before the whole request was sent.
    pub fn is_early(&self) -> bool {
        !self.sent
    }

    /// Whether the body has been read to its exact end.
    pub fn is_complete(&self) -> bool {
        self.ending.complete.load(Ordering::Acquire)
    }

    /// Gives the connection back if it may carry another request: its exchange ended at
    /// the exact byte, and both ends mean to keep it. Any other is closed, because what
    /// is left of this answer would reach the next caller.
    pub fn release(self) -> Option<Connection> {
        let clean =
            self.is_complete() && self.ending.keep && self.sent && !self.connection.has_early();
        if clean {
            return Some(self.connection);
        }
        self.connection.close();
        None
    }
}
