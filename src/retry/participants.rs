use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// How long an entry may go by what it was told: for so long without a word it can't know what
/// the others take their parts to be.
const LEASE: Duration = Duration::from_secs(5);

/// How many entries a burst of further tries is shared by.
///
/// **Load pattern.** Callers are told of a few entries, but others get requests too: operators
/// look whether a change is in force everywhere, and callers hold old lists. Controls that have
/// just started have heard from few entries, and entries that are cut off still serve.
///
/// **Without it.** With the entries that are named for the count, each of the others spends the
/// part of one of a few, and all together many times the burst.
///
/// **How.** All entries that take callers count, and of the counts of late the highest. An entry
/// that no control tells anything has no part, and has one again after a whole window: until then
/// the others may have shared it among them. So all that spend at a time were counted together.
#[derive(Clone, Debug)]
pub struct Participants {
    /// Counts, and when each was first told; the last one goes on.
    counts: VecDeque<(Moment, usize)>,
    /// When a control told it again after a break.
    regained_at: Option<Moment>,
    told_at: Option<Moment>,
    window: Duration,
}

impl Participants {
    /// Nothing told yet; further tries count over `window`.
    pub fn new(window: Duration) -> Self {
        Self { counts: VecDeque::new(), regained_at: None, told_at: None, window }
    }

    /// A control that is in touch with the others tells how many entries take callers.
    pub fn update(&mut self, now: Moment, entries: usize) {
        if self.told_at.is_some_and(|at| now >= at + LEASE) {
            self.regained_at = Some(now);
        }
        self.told_at = Some(now);
        if self.counts.back().is_none_or(|(_, count)| *count != entries) {
            self.counts.push_back((now, entries));
        }
        self.forget(now);
    }

    /// Entries that share the burst with this one; `None` while it has no part in it.
    pub fn count(&self, now: Moment) -> Option<usize> {
        let told_at = self.told_at?;
        let is_back = self.regained_at.is_some_and(|at| now < at + self.window);
        if is_back || now >= told_at + LEASE {
            return None;
        }
        self.counts.iter().map(|(_, count)| *count).max()
    }

    /// Forgets counts that were replaced before anything that still counts was spent.
    fn forget(&mut self, now: Moment) {
        let kept = self.window + LEASE;
        while self.counts.get(1).is_some_and(|(replaced, _)| now >= *replaced + kept) {
            self.counts.pop_front();
        }
    }
}
