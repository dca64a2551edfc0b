//! Whether an error of one of a service's upstreams is followed by more.

use std::collections::VecDeque;

/// Errors kept: a few seconds' worth where one answer in fifty is one.
const KEPT: usize = 64;
/// Fewest that show anything: fewer are as likely chance.
const LEAST: usize = 12;
/// Share of them that more errors follow, from which on one is a sign of a fault. Where errors
/// are the callers' own doing, the next answer is one as seldom as any other.
const RECURRING: f64 = 0.2;

/// Whether an error of one of a service's upstreams is followed by more.
///
/// **Load pattern.** Any upstream answers a request in a hundred with an error. Of some services
/// a third of the upstreams, now these and now those, answer most of theirs so for seconds; of
/// others faults break answers, and errors come singly.
///
/// **Without it.** Three errors are waited for, and two of them are requests that may run only
/// once: half of all that is lost. Or each single error takes a sound upstream's work away,
/// where the others have no room for it.
#[derive(Clone, Debug, Default)]
pub struct ErrorHistory {
    followed: VecDeque<bool>,
}

impl ErrorHistory {
    /// Notes whether the answer after an error was one again.
    pub fn add(&mut self, is_followed: bool) {
        if self.followed.len() == KEPT {
            self.followed.pop_front();
        }
        self.followed.push_back(is_followed);
    }

    /// Whether one error is a sign of a fault.
    pub fn is_recurring(&self) -> bool {
        let followed = self.followed.iter().filter(|is_followed| **is_followed).count();
        let known = self.followed.len();
        known >= LEAST && followed as f64 >= RECURRING * known as f64
    }
}
