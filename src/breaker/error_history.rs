//! Whether errors of a service's upstreams come in series.

use std::collections::VecDeque;

/// Errors kept: those of a few seconds where one answer in fifty is an error.
const CAPACITY: usize = 64;
/// Errors needed for a result; with fewer it may be chance.
const ERRORS_MIN: usize = 12;
/// Share of errors followed by another error from which on a single one is a sign of a fault.
/// Where callers cause the errors, an error is no more likely after an error than after any other
/// answer.
const FOLLOWED_SHARE_MIN: f64 = 0.2;

/// Whether errors of a service's upstreams come in series.
///
/// **Load pattern.** Any upstream answers one request in a hundred with an error. In some
/// services a third of the upstreams at a time, changing over time, answer most requests with
/// errors for seconds; in others faults break answers, and errors come singly.
///
/// **Without it.** If the breaker waits for three errors, two of them hit requests that are not
/// idempotent: half of all that is lost. If it opens at every error, sound upstreams are taken
/// out while the others have no spare capacity.
#[derive(Clone, Debug, Default)]
pub struct ErrorHistory {
    followed: VecDeque<bool>,
}

impl ErrorHistory {
    /// Records whether the answer after an error was an error too.
    pub fn add(&mut self, is_followed: bool) {
        if self.followed.len() == CAPACITY {
            self.followed.pop_front();
        }
        self.followed.push_back(is_followed);
    }

    /// Whether a single error is a sign of a fault.
    pub fn is_recurring(&self) -> bool {
        let followed = self.followed.iter().filter(|is_followed| **is_followed).count();
        let count = self.followed.len();
        count >= ERRORS_MIN && followed as f64 >= FOLLOWED_SHARE_MIN * count as f64
    }
}
