//! The log in memory: a snapshot and the entries after it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use super::entry::Entry;
use super::entry::Payload;
use super::membership::Membership;
use super::recovered::Recovered;
use super::snapshot::Snapshot;
use crate::id::Index;
use crate::id::Term;

/// Snapshot, entries, and the memberships they name.
#[derive(Debug)]
pub(super) struct Trail {
    base: Index,
    base_term: Term,
    changes: BTreeMap<Index, Membership>,
    entries: VecDeque<Entry>,
    /// For each entry, the bytes of all up to it since the trail was made; so
    /// that the size of any stretch is known without a walk.
    offsets: VecDeque<usize>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
}

impl Trail {
    pub(super) fn new(founders: Membership, recovered: Recovered) -> Self {
        let mut trail = Self {
            base: 0,
            base_term: 0,
            changes: BTreeMap::from([(0, founders)]),
            entries: VecDeque::new(),
            offsets: VecDeque::new(),
            snapshot: None,
        };
        if let Some(snapshot) = recovered.snapshot {
            trail.restart(snapshot);
        }
        for entry in recovered.entries {
            trail.push(entry);
        }
        trail
    }

    pub(super) fn last(&self) -> Index {
        self.base + self.entries.len() as Index
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(super) fn base(&self) -> Index {
        self.base
    }

    /// Term at `index`; `None` before the base and after the end.
    pub(super) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: Index) -> Option<&Entry> {
        let place = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Entries from `from` on, up to `bytes` but at least one.
    pub(super) fn batch(&self, from: Index, bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Bytes of all entries from `from` on.
    pub(super) fn bytes_from(&self, from: Index) -> usize {
        let Some(end) = self.offsets.back() else { return 0 };
        let from = from.max(self.base + 1);
        let place = from - self.base - 1;
        let Some(first) = usize::try_from(place).ok().and_then(|it| self.offsets.get(it)) else {
            return 0;
        };
        let own = self.get(from).map_or(0, Entry::size);
        end - first + own
    }

    /// Appends the entry that comes next.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Payload::Change(membership) = &entry.payload {
            self.changes.insert(entry.index, membership.clone());
        }
        let before = self.offsets.back().copied().unwrap_or(0);
        self.offsets.push_back(before + entry.size());
        self.entries.push_back(entry);
    }

    /// Drops `index` and all after it, with the memberships they named.
    pub(super) fn truncate(&mut self, index: Index) {
        let kept = index.saturating_sub(self.base + 1);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        self.entries.truncate(kept);
        self.offsets.truncate(kept);
        self.changes.split_off(&index);
    }

    /// First position of the run of entries of one term that ends at `index`.
    pub(super) fn run_start(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut start = index;
        while start > self.base + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Membership of the newest change, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        static NOBODY: Membership =
            Membership { learners: BTreeMap::new(), voters: BTreeMap::new() };
        self.changes.values().next_back().unwrap_or(&NOBODY)
    }

    /// Membership in force at `index`.
    pub(super) fn membership_at(&self, index: Index) -> Membership {
        let change = self.changes.range(..=index).next_back();
        change.map(|(_, membership)| membership.clone()).unwrap_or_default()
    }

    /// Position of the newest change.
    pub(super) fn changed_at(&self) -> Index {
        self.changes.keys().next_back().copied().unwrap_or(0)
    }

    /// Takes the application's own snapshot, and keeps the entries after `keep`.
    pub(super) fn compact(&mut self, snapshot: Arc<Snapshot>, keep: Index) {
        let keep = keep.min(snapshot.index);
        while self.base < keep {
            let Some(entry) = self.entries.pop_front() else { break };
            self.offsets.pop_front();
            self.base = entry.index;
            self.base_term = entry.term;
        }
        let membership = self.membership_at(self.base);
        self.changes = self.changes.split_off(&(self.base + 1));
        self.changes.insert(self.base, membership);
        self.snapshot = Some(snapshot);
    }

    /// Takes a leader's snapshot; later entries stay only where they follow it.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            let keep = snapshot.index;
            self.compact(snapshot, keep);
        } else {
            self.restart(snapshot);
        }
    }

    fn restart(&mut self, snapshot: Arc<Snapshot>) {
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.changes = BTreeMap::from([(snapshot.index, snapshot.membership.clone())]);
        self.entries.clear();
        self.offsets.clear();
        self.snapshot = Some(snapshot);
    }
}
