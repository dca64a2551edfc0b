use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;

/// Part of the burst that all serving entries share. Some requests reach entries that are not
/// listed, and before the load is known none is.
const SERVING_PART: f64 = 0.25;
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
    /// Whether this entry serves. Before, it is not counted among those that do.
    pub is_serving: bool,
    /// Whether the load is known. Before, far more entries are listed than will be.
    pub is_settled: bool,
    /// Number of all entries that serve.
    pub serving: usize,
}

/// Divides one burst of retries among entries.
///
/// **Load pattern.** Callers are told of a few of a thousand entries. Some requests reach others:
/// operators check whether a change is in force everywhere, and callers use outdated lists.
/// Controls that have just started know few entries, and entries that are cut off still serve.
///
/// **Without it.** If all entries share the burst, each of a thousand has one retry, and a few
/// dozen serve all callers. If each entry takes the part of one of those dozens, all together spend
/// many times the burst.
///
/// **How.** All serving entries share a quarter of the burst and the listed ones the rest.
#[derive(Clone, Debug)]
pub struct Participants {
    listed: Group,
    serving: Group,
}

/// Entries that share a part of the burst.
///
/// The highest recent count is used. An entry that joins, or is updated again after its lease
/// expired, waits for a whole window and a lease. All that spend within one window were then
/// members together at its start, and were counted together. A process that has just started waits
/// too, whatever its settings say: an earlier one may have spent its part.
#[derive(Clone, Debug)]
struct Group {
    /// Counts, each with the time when it was first reported. The last one is current.
    counts: VecDeque<(Moment, usize)>,
    /// Since when this entry has been a member without a gap.
    member_since: Option<Moment>,
    updated_at: Option<Moment>,
    window: Duration,
}

impl Participants {
    /// Creates a counter; retries are limited over `window`.
    pub fn new(window: Duration) -> Self {
        Self { listed: Group::new(window), serving: Group::new(window) }
    }

    /// Records a listing that is reported by a control in contact with the others.
    pub fn update(&mut self, now: Moment, listing: Listing) {
        self.serving.update(now, listing.serving, listing.is_serving);
        if listing.is_settled {
            self.listed.update(now, listing.entries, listing.is_listed);
        }
    }

    /// This entry's part of the burst.
    pub fn part(&self, now: Moment) -> f64 {
        let share = |count: Option<usize>| count.map_or(0.0, |count| 1.0 / count.max(1) as f64);
        let serving = SERVING_PART * share(self.serving.count(now));
        serving + (1.0 - SERVING_PART) * share(self.listed.count(now))
    }
}

impl Group {
    fn new(window: Duration) -> Self {
        Self { counts: VecDeque::new(), member_since: None, updated_at: None, window }
    }

    fn update(&mut self, now: Moment, count: usize, is_member: bool) {
        if self.updated_at.is_some_and(|at| now >= at + LEASE) {
            self.member_since = None;
        }
        if !is_member {
            self.member_since = None;
        } else if self.member_since.is_none() {
            self.member_since = Some(now);
        }
        self.updated_at = Some(now);
        if self.counts.back().is_none_or(|(_, last)| *last != count) {
            self.counts.push_back((now, count));
        }
        self.remove_outdated(now);
    }

    /// Number of members; `None` while this entry has no part.
    fn count(&self, now: Moment) -> Option<usize> {
        let updated_at = self.updated_at?;
        let member_since = self.member_since?;
        let is_waiting = now < member_since + self.retention();
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
