use std::collections::BTreeSet;
use std::time::Duration;

use super::pace::Pace;
use crate::clock::Moment;

/// Requests that hold a slot alike: short ones, or long ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Kind {
    pub(super) pace: Pace,
    pub(super) running: BTreeSet<(Moment, u64)>,
    pub(super) waiting: usize,
}

impl Kind {
    /// Time that a request can be expected to take: as of late, or the age of
    /// the middle one of those that run, which shows a slow upstream at once
    /// and not only when the first slow answers are in.
    pub(super) fn service(&self, now: Moment) -> Duration {
        let middle = self.running.iter().nth(self.running.len() / 2);
        let age = middle.map_or(Duration::ZERO, |entry| now.saturating_sub(entry.0));
        self.pace.mean().max(age)
    }
}
