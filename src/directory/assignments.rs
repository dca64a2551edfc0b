//! Entries that are first in valid answers.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::Moment;
use crate::id::NodeId;

/// Number of valid answers in which each entry is first.
#[derive(Debug, Default)]
pub(crate) struct Assignments {
    counts: BTreeMap<NodeId, u32>,
    queue: VecDeque<(Moment, NodeId)>,
}

impl Assignments {
    /// Most assignments that are tracked. With more than 8,192, one more or less no longer matters
    /// for the balance.
    const MAX_TRACKED: usize = 8192;

    /// Counts an answer with `id` first until it expires at `end`.
    pub(crate) fn add(&mut self, id: NodeId, end: Moment) {
        *self.counts.entry(id.clone()).or_default() += 1;
        self.queue.push_back((end, id));
        if self.queue.len() > Self::MAX_TRACKED {
            self.remove_oldest();
        }
    }

    /// Returns the number of valid answers with `id` first.
    pub(crate) fn count(&self, id: &NodeId) -> u32 {
        self.counts.get(id).copied().unwrap_or(0)
    }

    /// Removes expired assignments.
    pub(crate) fn expire(&mut self, now: Moment) {
        while self.queue.front().is_some_and(|(end, _)| *end <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, id)) = self.queue.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&id);
            }
        }
    }
}
