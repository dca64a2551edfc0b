use serde::Deserialize;
use serde::Serialize;

/// How many tries beyond the first a policy allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Whether tries that reached no upstream cost nothing.
    pub free_connects: bool,
    /// Tries that may be saved up.
    pub most: f64,
    /// Tries for each first one.
    pub share: f64,
}

impl Limits {
    /// Share of an allowance for all entries that they use at most: an entry that has just
    /// come or gone is counted late.
    const MARGIN: f64 = 0.9;

    /// One entry's part of what `entries` may do together: in any span all of them make at
    /// most `share` of their first tries and `burst` more.
    pub fn part(share: f64, burst: f64, entries: usize) -> Self {
        let most = Self::MARGIN * burst / entries.max(1) as f64;
        Self { free_connects: true, most, share: Self::MARGIN * share }
    }
}
