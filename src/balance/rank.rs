//! Order of the entries that see to it that an upstream gets requests.

use serde::Deserialize;
use serde::Serialize;

use crate::balance::subset;
use crate::id::DomainId;
use crate::id::NodeId;

/// Rank of an entry among those that see to it that an upstream gets requests.
///
/// The entries that callers are told of are ordered by rendezvous hash, those in the upstream's
/// failure domain first. Entries with the same list agree on it without a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rank {
    /// Entries before this one.
    before: u32,
    /// All of these entries, at least one.
    count: u32,
}

impl Rank {
    /// Rank of an entry that is the only one.
    pub const ALONE: Self = Self { before: 0, count: 1 };

    /// Rank of entry `me` for an upstream in `domain`. An entry that callers are not told of comes
    /// after all others.
    pub fn of<'a>(
        me: &NodeId,
        entries: impl Iterator<Item = (&'a NodeId, &'a DomainId)>,
        upstream: &str,
        domain: &DomainId,
    ) -> Self {
        let key = |id: &NodeId, of: &DomainId| (of != domain, subset::rank(id, upstream));
        let keys: Vec<_> = entries.map(|(id, of)| (id == me, key(id, of))).collect();
        let mine = keys.iter().find(|(is_mine, _)| *is_mine).map(|(_, key)| *key);
        let is_before = |other: &(bool, u64)| mine.is_none_or(|mine| *other < mine);
        let before = keys.iter().filter(|(_, key)| is_before(key)).count();
        Self { before: before as u32, count: keys.len().max(1) as u32 }
    }

    /// Whether callers are told of this entry.
    pub fn is_listed(self) -> bool {
        self.before < self.count
    }

    /// Entries before this one; `None` if callers are not told of it.
    pub fn place(self) -> Option<u32> {
        self.is_listed().then_some(self.before)
    }

    /// Entries before this one after `round` entries have had their turn.
    pub fn turn(self, round: u32) -> u32 {
        if !self.is_listed() {
            return self.before;
        }
        let had_turn = round % self.count.max(1);
        (self.before + self.count - had_turn) % self.count
    }
}

impl Default for Rank {
    /// Of an entry that callers are not told of.
    fn default() -> Self {
        Self { before: u32::MAX, count: 1 }
    }
}
