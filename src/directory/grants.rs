//! First places handed out and still in use.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Moment;
use crate::id::NodeId;

/// Counts of first places by entry, each until its lifetime is over.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    counts: BTreeMap<NodeId, u32>,
    queue: VecDeque<(Moment, NodeId)>,
}

impl Grants {
    /// Most grants remembered: at 8,192 one more or less evens nothing any more.
    const MAX: usize = 8192;

    /// Counts a first place for `id` until `end`.
    pub(crate) fn add(&mut self, id: NodeId, end: Moment) {
        *self.counts.entry(id.clone()).or_default() += 1;
        self.queue.push_back((end, id));
        if self.queue.len() > Self::MAX {
            self.drop_first();
        }
    }

    /// First places of `id` in use.
    pub(crate) fn count(&self, id: &NodeId) -> u32 {
        self.counts.get(id).copied().unwrap_or(0)
    }

    /// Forgets those whose lifetime is over.
    pub(crate) fn expire(&mut self, now: Moment) {
        while self.queue.front().is_some_and(|(end, _)| *end <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((_, id)) = self.queue.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&id);
            }
        }
    }
}
