use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How many tries beyond the first a policy allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Whether tries that reached no upstream cost nothing.
    pub free_connects: bool,
    /// Whether no process before this one can have spent anything: the whole fleet starts for
    /// the first time.
    #[serde(default)]
    pub is_first: bool,
    /// Tries that may be saved up.
    pub most: f64,
    /// Tries for each first one.
    pub share: f64,
    /// Span over which both are counted; without it tries are saved up, few at a time.
    #[serde(default)]
    pub window: Option<Duration>,
}

impl Limits {
    /// Share of an allowance for all entries that they use at most: an entry that has just
    /// come or gone is counted late.
    const MARGIN: f64 = 0.9;

    /// One entry's part of what all do together: in any `window` they make at most `share` of
    /// their first tries and `burst` more, which `entries` of them share; `None` for an entry
    /// without a part in it.
    pub fn per_entry(share: f64, burst: f64, window: Duration, entries: Option<usize>) -> Self {
        let most = entries.map_or(0.0, |entries| Self::MARGIN * burst / entries.max(1) as f64);
        let share = Self::MARGIN * share;
        Self { free_connects: true, is_first: false, most, share, window: Some(window) }
    }
}
