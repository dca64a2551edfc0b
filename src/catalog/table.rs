//! The table and its rules of precedence among announcements.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Change;
use super::Delta;
use crate::id::Incarnation;
use crate::id::Index;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::State;

/// Tombstones kept at most, so that a late announcement does not add a removed upstream
/// again. At the planned size of the fleet they cover several days of restarts.
const MAX_TOMBSTONES: usize = 10_000;

/// All upstreams that have announced themselves, as of one index of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    floor: Index,
    gone: BTreeMap<UpstreamId, Tombstone>,
    upstreams: BTreeMap<UpstreamId, Entry>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
    change: Change,
    changed: Index,
}

/// Record of a removed upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Tombstone {
    /// Its last known incarnation. Only a later one adds the upstream again.
    incarnation: Incarnation,
    index: Index,
}

impl Catalog {
    /// Applies a log entry and returns whether it changed the table.
    pub fn apply(&mut self, index: Index, action: &Action) -> bool {
        if !self.would_change(action) {
            return false;
        }
        match action {
            Action::Announce(change) => {
                let id = change.announcement.upstream.clone();
                self.gone.remove(&id);
                if self.is_new_incarnation(&change.announcement) {
                    self.remove_at_address_of(&change.announcement, index);
                }
                let entry = Entry { change: change.clone(), changed: index };
                self.upstreams.insert(id, entry);
            }
            Action::Leave(id) => {
                self.remove(id, index);
                self.evict_tombstones();
            }
        }
        true
    }

    /// Whether applying `action` would change the table. Late announcements would not: if one
    /// of a removed or draining upstream did, the upstream would get requests that it can't
    /// finish.
    pub fn would_change(&self, action: &Action) -> bool {
        match action {
            Action::Announce(change) => self.is_newer(change),
            Action::Leave(id) => !self.gone.contains_key(id),
        }
    }

    /// Changes after the index `base`.
    pub fn since(&self, base: Index) -> Delta {
        self.between(base, Index::MAX)
    }

    /// The first changes after the index `base`, about `limit` of them, and the index up to which
    /// they are complete; `None` if there are no more.
    pub fn page(&self, base: Index, limit: usize) -> (Delta, Option<Index>) {
        let changed = self.upstreams.values().map(|entry| entry.changed);
        let gone = self.gone.values().map(|gone| gone.index);
        let mut indices: Vec<Index> = changed.chain(gone).filter(|index| *index > base).collect();
        if base < self.floor || indices.len() <= limit {
            return (self.since(base), None);
        }
        let (_, end, _) = indices.select_nth_unstable(limit);
        (self.between(base, *end), Some(*end))
    }

    fn between(&self, base: Index, end: Index) -> Delta {
        let whole = base < self.floor;
        let is_within = |index: Index| index > base && index <= end;
        let changed = self.upstreams.values().filter(|entry| whole || is_within(entry.changed));
        let gone = self.gone.iter().filter(|(_, gone)| !whole && is_within(gone.index));
        Delta {
            gone: gone.map(|(id, _)| id.clone()).collect(),
            upstreams: changed.map(|entry| entry.change.announcement.clone()).collect(),
            whole,
        }
    }

    /// Announcement of an upstream, unless it was removed.
    pub fn get(&self, id: &UpstreamId) -> Option<&Announcement> {
        self.upstreams.get(id).map(|entry| &entry.change.announcement)
    }

    /// Announcements of all upstreams that were not removed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Announcement> {
        self.upstreams.values().map(|entry| &entry.change.announcement)
    }

    fn is_newer(&self, change: &Change) -> bool {
        let announced = &change.announcement;
        if let Some(gone) = self.gone.get(&announced.upstream) {
            return announced.incarnation > gone.incarnation;
        }
        let Some(known) = self.upstreams.get(&announced.upstream) else { return true };
        let old = &known.change.announcement;
        // After a restart the upstream numbers its announcements from the beginning and takes
        // requests, even if it was draining before.
        if announced.incarnation != old.incarnation {
            return announced.incarnation > old.incarnation;
        }
        if change.sequence <= known.change.sequence || old.state == State::Draining {
            return false;
        }
        let is_unchanged =
            Announcement { lease: old.lease, warm_up: old.warm_up, ..announced.clone() } == *old;
        !is_unchanged
    }

    /// Whether an upstream is new or has restarted.
    fn is_new_incarnation(&self, announced: &Announcement) -> bool {
        self.get(&announced.upstream).is_none_or(|old| announced.incarnation > old.incarnation)
    }

    fn remove(&mut self, id: &UpstreamId, index: Index) {
        let removed = self.upstreams.remove(id);
        // If the upstream was never known, none of its announcements is accepted any more,
        // because a late first one must not add it.
        let incarnation =
            removed.map_or(Incarnation::MAX, |entry| entry.change.announcement.incarnation);
        self.gone.insert(id.clone(), Tombstone { incarnation, index });
    }

    /// Removes upstreams at the address of a new one, as they are gone even if they could not
    /// report it. Otherwise the new upstream refuses every request that is sent there for the
    /// old one; when addresses were reused, this affected half the requests of one service.
    fn remove_at_address_of(&mut self, new: &Announcement, index: Index) {
        let was_replaced = |entry: &Entry| {
            let old = &entry.change.announcement;
            old.address == new.address && old.upstream != new.upstream
        };
        let old = self.upstreams.iter().filter(|(_, entry)| was_replaced(entry));
        let old: Vec<UpstreamId> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.remove(&id, index);
        }
        self.evict_tombstones();
    }

    fn evict_tombstones(&mut self) {
        while self.gone.len() > MAX_TOMBSTONES {
            let oldest = self.gone.iter().min_by_key(|(_, gone)| gone.index);
            let Some((id, index)) = oldest.map(|(id, gone)| (id.clone(), gone.index)) else {
                return;
            };
            self.gone.remove(&id);
            self.floor = self.floor.max(index);
        }
    }
}
