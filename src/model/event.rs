use std::cmp::Ordering;

use crate::clock::Moment;

/// What happens next in a world.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    /// A caller sends a request to an entry.
    Ask,
    /// An answer reaches the entry.
    Answer(usize),
    /// An upstream ends its work on a request.
    Done(usize),
    /// The entry's patience with a request ends.
    GiveUp(usize),
    /// A request reaches its upstream.
    Reach(usize),
    /// All entries do what they do at intervals.
    Tick,
}

/// An event with its time; the greatest is the one due first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Due {
    pub(crate) at: Moment,
    pub(crate) event: Event,
    pub(crate) order: u64,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
