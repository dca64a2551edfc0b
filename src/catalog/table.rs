//! The table and its rules of precedence.

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

/// Upstreams that are gone and still remembered, so that a late announcement does not bring
/// them back: days of restarts at the size planned for.
const GONE_MAX: usize = 10_000;

/// All upstreams that have announced themselves, as of one index of the log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalog {
    floor: Index,
    gone: BTreeMap<UpstreamId, Gone>,
    upstreams: BTreeMap<UpstreamId, Entry>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Entry {
    change: Change,
    changed: Index,
}

/// An upstream that is gone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Gone {
    /// The last of its starts that is known: a later one brings it back.
    incarnation: Incarnation,
    index: Index,
}

impl Catalog {
    /// Takes an entry of the log; whether it changed anything.
    pub fn apply(&mut self, index: Index, action: &Action) -> bool {
        if !self.would_change(action) {
            return false;
        }
        match action {
            Action::Announce(change) => {
                let id = change.announcement.upstream.clone();
                self.gone.remove(&id);
                if self.has_started(&change.announcement) {
                    self.replace_at(&change.announcement, index);
                }
                let entry = Entry { change: change.clone(), changed: index };
                self.upstreams.insert(id, entry);
            }
            Action::Leave(id) => {
                self.lose(id, index);
                self.forget();
            }
        }
        true
    }

    /// Whether an action says anything that the table doesn't. Late announcements don't: one
    /// of an upstream that is gone or draining would send it work that it can't finish.
    pub fn would_change(&self, action: &Action) -> bool {
        match action {
            Action::Announce(change) => self.is_newer(change),
            Action::Leave(id) => !self.gone.contains_key(id),
        }
    }

    /// What changed after `base`.
    pub fn since(&self, base: Index) -> Delta {
        let whole = base < self.floor;
        let changed = self.upstreams.values().filter(|entry| whole || entry.changed > base);
        let gone = self.gone.iter().filter(|(_, gone)| !whole && gone.index > base);
        Delta {
            gone: gone.map(|(id, _)| id.clone()).collect(),
            upstreams: changed.map(|entry| entry.change.announcement.clone()).collect(),
            whole,
        }
    }

    /// An upstream that is not gone.
    pub fn get(&self, id: &UpstreamId) -> Option<&Announcement> {
        self.upstreams.get(id).map(|entry| &entry.change.announcement)
    }

    /// Upstreams that are not gone.
    pub fn upstreams(&self) -> impl Iterator<Item = &Announcement> {
        self.upstreams.values().map(|entry| &entry.change.announcement)
    }

    fn is_newer(&self, change: &Change) -> bool {
        let said = &change.announcement;
        if let Some(gone) = self.gone.get(&said.upstream) {
            return said.incarnation > gone.incarnation;
        }
        let Some(known) = self.upstreams.get(&said.upstream) else { return true };
        let old = &known.change.announcement;
        // Started again, it counts from the beginning and takes work, also where it drained.
        if said.incarnation != old.incarnation {
            return said.incarnation > old.incarnation;
        }
        if change.sequence <= known.change.sequence || old.state == State::Draining {
            return false;
        }
        let same = Announcement { lease: old.lease, warm_up: old.warm_up, ..said.clone() } == *old;
        !same
    }

    /// Whether an upstream is new, or has started again.
    fn has_started(&self, said: &Announcement) -> bool {
        self.get(&said.upstream).is_none_or(|old| said.incarnation > old.incarnation)
    }

    fn lose(&mut self, id: &UpstreamId, index: Index) {
        let lost = self.upstreams.remove(id);
        // Of one that was never known, a late first word must not bring it to life.
        let incarnation =
            lost.map_or(Incarnation::MAX, |entry| entry.change.announcement.incarnation);
        self.gone.insert(id.clone(), Gone { incarnation, index });
    }

    /// Whoever was at the address of a new upstream is gone, also where it could not say so.
    /// Without it, all that is sent there for the old one is turned away by the new one: half
    /// of what reached one service on a day on which addresses were used again.
    fn replace_at(&mut self, new: &Announcement, index: Index) {
        let is_there = |entry: &Entry| {
            let old = &entry.change.announcement;
            old.address == new.address && old.upstream != new.upstream
        };
        let old = self.upstreams.iter().filter(|(_, entry)| is_there(entry));
        let old: Vec<UpstreamId> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.lose(&id, index);
        }
        self.forget();
    }

    fn forget(&mut self) {
        while self.gone.len() > GONE_MAX {
            let oldest = self.gone.iter().min_by_key(|(_, gone)| gone.index);
            let Some((id, index)) = oldest.map(|(id, gone)| (id.clone(), gone.index)) else {
                return;
            };
            self.gone.remove(&id);
            self.floor = self.floor.max(index);
        }
    }
}
