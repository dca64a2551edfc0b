use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// How long an entry may rely on the last update. Without a later one it can't know what share the
/// other entries assume.
const LEASE: Duration = Duration::from_secs(5);

/// Counts the entries that share one burst of retries.
///
/// **Load pattern.** Callers are told of a few entries only, but other entries get requests too:
/// operators check whether a change is in force everywhere, and callers use outdated lists.
/// Controls that have just started know few entries, and entries that are cut off still serve.
///
/// **Without it.** If only the announced entries counted, each of the others would spend the share
/// of one of a few, and all together many times the burst.
///
/// **How.** Every entry that serves callers counts, and the highest recent count is used. An entry
/// without updates from control has no share, and regains it only after a whole window with
/// updates, because the others may have divided it among themselves until then. All entries that
/// spend at the same time were thus counted together.
#[derive(Clone, Debug)]
pub struct Participants {
    /// Counts, each with the time when it was first reported. The last one is current.
    counts: VecDeque<(Moment, usize)>,
    /// When updates resumed after the lease had expired.
    regained_at: Option<Moment>,
    updated_at: Option<Moment>,
    window: Duration,
}

impl Participants {
    /// Creates a counter without updates. `window` is the window of the retry budget.
    pub fn new(window: Duration) -> Self {
        Self { counts: VecDeque::new(), regained_at: None, updated_at: None, window }
    }

    /// Records the number of serving entries, as reported by a control in contact with the others.
    pub fn update(&mut self, now: Moment, entries: usize) {
        if self.updated_at.is_some_and(|at| now >= at + LEASE) {
            self.regained_at = Some(now);
        }
        self.updated_at = Some(now);
        if self.counts.back().is_none_or(|(_, count)| *count != entries) {
            self.counts.push_back((now, entries));
        }
        self.remove_outdated(now);
    }

    /// Number of entries that share the burst with this one; `None` while this entry has no share.
    pub fn count(&self, now: Moment) -> Option<usize> {
        let updated_at = self.updated_at?;
        let is_rejoining = self.regained_at.is_some_and(|at| now < at + self.window);
        if is_rejoining || now >= updated_at + LEASE {
            return None;
        }
        self.counts.iter().map(|(_, count)| *count).max()
    }

    /// Removes counts that were replaced before any retry that still counts was spent.
    fn remove_outdated(&mut self, now: Moment) {
        let retention = self.window + LEASE;
        while self.counts.get(1).is_some_and(|(replaced, _)| now >= *replaced + retention) {
            self.counts.pop_front();
        }
    }
}
