use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Share;
use crate::id::Incarnation;
use crate::id::NodeId;

/// Share of an allowance up to which entries may hold more than they need. The rest stays free
/// for entries that run short, and for a restart of all entries, when what they held counts as
/// used.
const SPARE_CEILING: f64 = 0.7;

/// The shares of one allowance that entries hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Holding {
    held: BTreeMap<NodeId, Share>,
    /// Shares of ended incarnations, until the requests that they passed are out of every window.
    left: BTreeMap<(NodeId, Incarnation), Share>,
}

impl Holding {
    /// Allocates what an entry demands, as far as it is free. Returns the allocation; `want` and
    /// the result are in requests out of an allowance of `most`.
    ///
    /// An entry that demands no less than it had keeps at least that: its old share is freed
    /// first, and all shares add up to the whole at most.
    pub(super) fn allocate(&mut self, holder: &NodeId, want: u32, most: u32) -> u32 {
        let before = self.held.remove(holder).unwrap_or_default();
        let allocation = want.min(self.free().requests(most));
        // Rounded to whole requests of a limit that has shrunk, the share may be smaller than
        // before. The requests that passed under the old limit still count, and another entry that
        // still uses the old limit could pass as many again with the difference.
        let share = Share::of(allocation, most).max(before.min(Share::of(want, most)));
        if share > Share::default() {
            self.held.insert(holder.clone(), share);
        }
        allocation
    }

    /// Ends an incarnation: its share counts as used.
    pub(super) fn end(&mut self, holder: &NodeId, incarnation: Incarnation) {
        if let Some(share) = self.held.remove(holder) {
            self.left.insert((holder.clone(), incarnation), share);
        }
    }

    /// Frees the share of an ended incarnation.
    pub(super) fn release(&mut self, holder: &NodeId, incarnation: Incarnation) {
        self.left.remove(&(holder.clone(), incarnation));
    }

    /// What each entry may hold beyond its need, in requests out of an allowance of `most`.
    pub(super) fn spare(&self, most: u32) -> u32 {
        let holders = self.held.len().max(1) as u32;
        let free = self.free().requests(most);
        let reserve = (f64::from(most) * (1.0 - SPARE_CEILING)) as u32;
        let per_holder = free.saturating_sub(reserve) / holders;
        // One spare request at each entry lets the next request of a small team pass anywhere.
        let min_spare = u32::from(free > holders);
        per_holder.max(min_spare)
    }

    /// Ended incarnations whose shares still count.
    pub(super) fn ended(&self) -> impl Iterator<Item = &(NodeId, Incarnation)> {
        self.left.keys()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty() && self.left.is_empty()
    }

    fn free(&self) -> Share {
        Share::remainder(self.held.values().chain(self.left.values()))
    }
}
