use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// How long an entry may rely on the last update. Without a later one it can't know what share the
/// other entries assume.
const LEASE: Duration = Duration::from_secs(5);

/// Entries that callers are told of, as a control reports them to one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listing {
    /// Number of these entries.
    pub entries: usize,
    /// Whether this entry is one of them.
    pub is_listed: bool,
    /// Whether the load is known. Before, far more entries are listed than will be.
    pub is_settled: bool,
}

/// Counts the entries that share one burst of retries.
///
/// **Load pattern.** Callers are told of a few of a thousand entries. Some requests reach others:
/// operators check whether a change is in force everywhere, and callers use outdated lists.
/// Controls that have just started know few entries, and entries that are cut off still serve.
///
/// **Without it.** If all entries share the burst, each of a thousand has one retry, and a few
/// dozen serve all callers. If each entry takes the part of one of those dozens, all together spend
/// many times the burst.
///
/// **How.** Only listed entries have a part, and the highest recent count is used. An entry that
/// comes onto the list, or is updated again, waits for a whole window and a lease. All that spend
/// within one window were then listed together at its start, and were counted together.
#[derive(Clone, Debug)]
pub struct Participants {
    /// Counts, each with the time when it was first reported. The last one is current.
    counts: VecDeque<(Moment, usize)>,
    /// Whether the fleet starts for the first time and no list was settled yet. Nobody has spent
    /// anything then.
    is_first: bool,
    /// Since when this entry has been listed without a gap.
    listed_since: Option<Moment>,
    /// Whether it need not wait, because it was on the first list of the fleet.
    is_exempt: bool,
    updated_at: Option<Moment>,
    window: Duration,
}

impl Participants {
    /// Creates a counter; retries are limited over `window`. `is_first` says that the whole fleet
    /// starts for the first time.
    pub fn new(window: Duration, is_first: bool) -> Self {
        Self {
            counts: VecDeque::new(),
            is_first,
            listed_since: None,
            is_exempt: false,
            updated_at: None,
            window,
        }
    }

    /// Records a listing that is reported by a control in contact with the others.
    pub fn update(&mut self, now: Moment, listing: Listing) {
        if !listing.is_settled {
            return;
        }
        if self.updated_at.is_some_and(|at| now >= at + LEASE) {
            self.listed_since = None;
        }
        self.updated_at = Some(now);
        if !listing.is_listed {
            self.listed_since = None;
        } else if self.listed_since.is_none() {
            self.listed_since = Some(now);
            self.is_exempt = self.is_first;
        }
        self.is_first = false;
        if self.counts.back().is_none_or(|(_, count)| *count != listing.entries) {
            self.counts.push_back((now, listing.entries));
        }
        self.remove_outdated(now);
    }

    /// Number of entries that share the burst with this one; `None` while this entry has no part.
    pub fn count(&self, now: Moment) -> Option<usize> {
        let updated_at = self.updated_at?;
        let listed_since = self.listed_since?;
        let is_waiting = !self.is_exempt && now < listed_since + self.retention();
        if is_waiting || now >= updated_at + LEASE {
            return None;
        }
        self.counts.iter().map(|(_, count)| *count).max()
    }

    /// Removes counts that were replaced before any retry that still counts was spent.
    fn remove_outdated(&mut self, now: Moment) {
        let retention = self.retention();
        while self.counts.get(1).is_some_and(|(replaced, _)| now >= *replaced + retention) {
            self.counts.pop_front();
        }
    }

    /// How long a retry that an entry spent on its last update counts.
    fn retention(&self) -> Duration {
        self.window + LEASE
    }
}
