//! The table and its rules of precedence among announcements.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Action;
use super::Change;
use super::Delta;
use super::Departure;
use super::Outcome;
use super::Sizes;
use super::order::Order;
use crate::id::Incarnation;
use crate::id::Index;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::registry::Life;
use crate::registry::State;

/// Tombstones kept at most, so that a late announcement does not add a removed upstream
/// again. At the planned size of the fleet they cover several days of restarts.
const MAX_TOMBSTONES: usize = 10_000;

/// All upstreams that have announced themselves, as of one index of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Catalog {
    floor: Index,
    gone: BTreeMap<UpstreamId, Tombstone>,
    order: Order,
    upstreams: BTreeMap<UpstreamId, Entry>,
}

/// The catalog as it is written to snapshots, without what can be derived.
#[derive(Deserialize, Serialize)]
struct Stored {
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

impl From<Stored> for Catalog {
    fn from(stored: Stored) -> Self {
        let Stored { floor, gone, upstreams } = stored;
        let mut order = Order::default();
        upstreams.values().for_each(|entry| order.add(entry.changed, &entry.change.announcement));
        gone.iter().for_each(|(id, gone)| order.add_removal(gone.index, id));
        Self { floor, gone, order, upstreams }
    }
}

impl From<Catalog> for Stored {
    fn from(catalog: Catalog) -> Self {
        let Catalog { floor, gone, upstreams, order: _ } = catalog;
        Self { floor, gone, upstreams }
    }
}

impl Catalog {
    /// Applies a log entry and returns what it did.
    pub fn apply(&mut self, index: Index, action: &Action) -> Outcome {
        let outcome = self.outcome(action);
        if !outcome.is_changed() {
            return outcome;
        }
        match action {
            Action::Announce(change) | Action::Return(change) => {
                self.remove_tombstone(&change.announcement.upstream);
                if self.is_new_incarnation(&change.announcement) {
                    self.remove_at_address_of(&change.announcement, index);
                }
                self.insert(change, index);
            }
            Action::Depart(Departure { upstream: id, .. }) | Action::Leave(id) => {
                self.remove(id, index);
                self.evict_tombstones();
            }
        }
        outcome
    }

    /// What applying `action` would do.
    pub fn outcome(&self, action: &Action) -> Outcome {
        match action {
            Action::Announce(change) => self.announcement_outcome(change),
            Action::Depart(departure) => self.departure_outcome(departure),
            Action::Leave(id) if self.gone.contains_key(id) => Outcome::Kept,
            Action::Leave(_) => Outcome::Changed,
            Action::Return(change) if self.is_new_incarnation(&change.announcement) => {
                Outcome::Changed
            }
            Action::Return(change) => self.announcement_outcome(change),
        }
    }

    /// Changes after the index `base`.
    pub fn since(&self, base: Index) -> Delta {
        if !self.holds_removals_since(base) {
            return Delta {
                upstreams: self.upstreams().cloned().collect(),
                whole: true,
                ..Delta::default()
            };
        }
        self.page(base, base, usize::MAX, |_| true).0
    }

    /// Whether the table knows all removals after the index `base`.
    pub fn holds_removals_since(&self, base: Index) -> bool {
        base >= self.floor
    }

    /// The first changes after the index `base` to upstreams that `follows` accepts, about `limit`
    /// of them, and the index up to which they are complete; `None` if there are no more.
    /// Removals up to the index `removals_from` are left out.
    pub fn page(
        &self,
        base: Index,
        removals_from: Index,
        limit: usize,
        follows: impl Fn(&Announcement) -> bool,
    ) -> (Delta, Option<Index>) {
        let mut delta = Delta::default();
        let mut count = 0;
        let mut last = base;
        for (index, id) in self.order.after(base) {
            let announced = self.get(id).filter(|announced| follows(announced));
            let is_removal = self.gone.contains_key(id) && index > removals_from;
            if announced.is_none() && !is_removal {
                continue;
            }
            // Changes with the same index belong to the same page.
            if count >= limit && index > last {
                return (delta, Some(last));
            }
            last = index;
            count += 1;
            match announced {
                Some(announced) => delta.upstreams.push(announced.clone()),
                None => delta.gone.push(id.clone()),
            }
        }
        (delta, None)
    }

    /// Announcement of an upstream, unless it was removed.
    pub fn get(&self, id: &UpstreamId) -> Option<&Announcement> {
        self.upstreams.get(id).map(|entry| &entry.change.announcement)
    }

    /// Announcements of all upstreams that were not removed.
    pub fn upstreams(&self) -> impl Iterator<Item = &Announcement> {
        self.upstreams.values().map(|entry| &entry.change.announcement)
    }

    /// Number of upstreams by service and failure domain.
    pub fn sizes(&self) -> &Sizes {
        self.order.sizes()
    }

    /// Slots of all upstreams.
    pub fn slots(&self) -> u64 {
        self.order.slots()
    }

    fn announcement_outcome(&self, change: &Change) -> Outcome {
        let announced = &change.announcement;
        match self.life(&announced.upstream) {
            Some(known) if known >= change.life() => self.older_outcome(announced, known),
            Some(_) if self.is_renewal(announced) => Outcome::Kept,
            _ if self.is_new_incarnation(announced) => self.takeover_outcome(announced),
            _ => Outcome::Changed,
        }
    }

    /// Outcome of an announcement that is not newer than what is known of its upstream. If a late one
    /// of a removed or draining upstream changed the table, the upstream would get requests that it
    /// can't finish.
    fn older_outcome(&self, announced: &Announcement, known: Life) -> Outcome {
        let is_gone = known.state == State::Gone;
        let is_known = match announced.state {
            State::Ready => !is_gone && known.incarnation == announced.incarnation,
            _ => is_gone || known.incarnation == announced.incarnation,
        };
        if is_known { Outcome::Kept } else { Outcome::Stale(known) }
    }

    /// Outcome of the first announcement of a start: where another upstream has the address, the one
    /// that started later keeps it. Without start times that is the one announced later.
    fn takeover_outcome(&self, announced: &Announcement) -> Outcome {
        let others = self.others_at_address(announced);
        let lives = others.iter().filter_map(|id| self.life(id));
        let newest = lives.max().filter(|life| life.incarnation > announced.incarnation);
        match newest.filter(|_| announced.incarnation > 0) {
            Some(life) => Outcome::Stale(life),
            None => Outcome::Changed,
        }
    }

    fn departure_outcome(&self, departure: &Departure) -> Outcome {
        let Some(known) = self.upstreams.get(&departure.upstream) else {
            let is_gone = self.gone.contains_key(&departure.upstream);
            return if is_gone { Outcome::Kept } else { Outcome::Changed };
        };
        // It was read without the newest word of this upstream, so it may be about an earlier start.
        if known.changed > departure.seen {
            return Outcome::Stale(known.change.life());
        }
        Outcome::Changed
    }

    /// The newest event known of an upstream.
    fn life(&self, id: &UpstreamId) -> Option<Life> {
        let known = self.upstreams.get(id).map(|entry| entry.change.life());
        known.or_else(|| self.gone.get(id).map(|gone| Life::end(gone.incarnation)))
    }

    /// Whether an announcement says nothing new of a start.
    fn is_renewal(&self, announced: &Announcement) -> bool {
        let Some(old) = self.get(&announced.upstream) else { return false };
        Announcement { lease: old.lease, warm_up: old.warm_up, ..announced.clone() } == *old
    }

    /// Whether an upstream is new or has restarted.
    fn is_new_incarnation(&self, announced: &Announcement) -> bool {
        self.get(&announced.upstream).is_none_or(|old| announced.incarnation != old.incarnation)
    }

    fn insert(&mut self, change: &Change, index: Index) {
        let id = change.announcement.upstream.clone();
        let entry = Entry { change: change.clone(), changed: index };
        if let Some(old) = self.upstreams.insert(id, entry) {
            self.order.remove(old.changed, &old.change.announcement);
        }
        self.order.add(index, &change.announcement);
    }

    fn remove(&mut self, id: &UpstreamId, index: Index) {
        let removed = self.upstreams.remove(id);
        if let Some(old) = &removed {
            self.order.remove(old.changed, &old.change.announcement);
        }
        // If the upstream was never known, a late first announcement must not add it; if it lives, it
        // returns by the second.
        let incarnation =
            removed.map_or(Incarnation::MAX, |entry| entry.change.announcement.incarnation);
        self.remove_tombstone(id);
        self.order.add_removal(index, id);
        self.gone.insert(id.clone(), Tombstone { incarnation, index });
    }

    /// Removes upstreams at the address of a new one, as they are gone even if they could not
    /// report it. Otherwise the new upstream refuses every request that is sent there for the
    /// old one; when addresses were reused, this affected half the requests of one service.
    fn remove_at_address_of(&mut self, new: &Announcement, index: Index) {
        for other in self.others_at_address(new) {
            let upstream = &new.upstream;
            tracing::info!(target: "hemlockfield::catalog", %upstream, %other, "address taken over");
            self.remove(&other, index);
        }
        self.evict_tombstones();
    }

    /// Upstreams at the address of an announced one, besides itself.
    fn others_at_address(&self, announced: &Announcement) -> Vec<UpstreamId> {
        let ids = self.order.at_address(announced.address).into_iter();
        ids.filter(|id| *id != announced.upstream).collect()
    }

    fn remove_tombstone(&mut self, id: &UpstreamId) {
        if let Some(tombstone) = self.gone.remove(id) {
            self.order.remove_removal(tombstone.index, id);
        }
    }

    fn evict_tombstones(&mut self) {
        while self.gone.len() > MAX_TOMBSTONES {
            let Some((index, id)) = self.order.first_removal() else { return };
            self.remove_tombstone(&id);
            self.floor = self.floor.max(index);
        }
    }
}
