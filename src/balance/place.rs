//! Place of an entry in the line of those that see to it that an upstream gets requests.

use serde::Deserialize;
use serde::Serialize;

use crate::balance::subset;
use crate::id::DomainId;
use crate::id::NodeId;

/// Place of an entry in the line of those that see to it that an upstream gets requests.
///
/// The entries that callers are told of stand in the line by rendezvous hash, those in the upstream's
/// failure domain first. Entries with the same list agree on it without a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// Entries before this one.
    rank: u32,
    /// Entries in the line, at least one.
    length: u32,
}

impl Place {
    /// Place of an entry that is the only one.
    pub const ALONE: Self = Self { rank: 0, length: 1 };

    /// Place of entry `me` for an upstream in `domain`. An entry that callers are not told of comes
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
        let rank = keys.iter().filter(|(_, key)| is_before(key)).count();
        Self { rank: rank as u32, length: keys.len().max(1) as u32 }
    }

    /// Whether callers are told of this entry.
    pub fn is_in_line(self) -> bool {
        self.rank < self.length
    }

    /// Entries before this one after `round` entries have had their turn.
    pub fn turn(self, round: u32) -> u32 {
        if !self.is_in_line() {
            return self.rank;
        }
        let had_turn = round % self.length.max(1);
        (self.rank + self.length - had_turn) % self.length
    }
}

impl Default for Place {
    /// Outside of the line.
    fn default() -> Self {
        Self { rank: u32::MAX, length: 1 }
    }
}
