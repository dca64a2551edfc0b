//! Log in memory: a snapshot and the entries after it.

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

/// Log in memory: the newest snapshot, the entries and the memberships in them.
#[derive(Debug)]
pub(super) struct Log {
    base_index: Index,
    base_term: Term,
    memberships: BTreeMap<Index, Membership>,
    entries: VecDeque<Entry>,
    /// For each entry, the running total of bytes up to and including it, so that the
    /// size of any range is known without iterating over it.
    offsets: VecDeque<usize>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
}

impl Log {
    pub(super) fn new(founders: Membership, recovered: Recovered) -> Self {
        let mut log = Self {
            base_index: 0,
            base_term: 0,
            memberships: BTreeMap::from([(0, founders)]),
            entries: VecDeque::new(),
            offsets: VecDeque::new(),
            snapshot: None,
        };
        if let Some(snapshot) = recovered.snapshot {
            log.reset_to(snapshot);
        }
        for entry in recovered.entries {
            log.push(entry);
        }
        log
    }

    pub(super) fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(super) fn base_index(&self) -> Index {
        self.base_index
    }

    /// Term at `index`; `None` before the base and after the end.
    pub(super) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: Index) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Entries from `from` on, up to `bytes` in total but at least one.
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
        let from = from.max(self.base_index + 1);
        let position = from - self.base_index - 1;
        let Some(first) = usize::try_from(position).ok().and_then(|it| self.offsets.get(it)) else {
            return 0;
        };
        let own = self.get(from).map_or(0, Entry::size);
        end - first + own
    }

    /// Appends the entry that comes next.
    pub(super) fn push(&mut self, entry: Entry) {
        if let Payload::Change(membership) = &entry.payload {
            self.memberships.insert(entry.index, membership.clone());
        }
        let before = self.offsets.back().copied().unwrap_or(0);
        self.offsets.push_back(before + entry.size());
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it, with their memberships.
    pub(super) fn truncate(&mut self, index: Index) {
        let kept = index.saturating_sub(self.base_index + 1);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        self.entries.truncate(kept);
        self.offsets.truncate(kept);
        self.memberships.split_off(&index);
    }

    /// First index of the consecutive entries with the same term as `index`.
    pub(super) fn term_start(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut start = index;
        while start > self.base_index + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Membership of the newest change, committed or not.
    pub(super) fn membership(&self) -> &Membership {
        static NOBODY: Membership =
            Membership { learners: BTreeMap::new(), voters: BTreeMap::new() };
        self.memberships.values().next_back().unwrap_or(&NOBODY)
    }

    /// Membership in force at `index`.
    pub(super) fn membership_at(&self, index: Index) -> Membership {
        let change = self.memberships.range(..=index).next_back();
        change.map(|(_, membership)| membership.clone()).unwrap_or_default()
    }

    /// Index of the newest membership change.
    pub(super) fn membership_index(&self) -> Index {
        self.memberships.keys().next_back().copied().unwrap_or(0)
    }

    /// Sets the application's own snapshot and keeps the entries after `keep`.
    pub(super) fn compact(&mut self, snapshot: Arc<Snapshot>, keep: Index) {
        let keep = keep.min(snapshot.index);
        while self.base_index < keep {
            let Some(entry) = self.entries.pop_front() else { break };
            self.offsets.pop_front();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let membership = self.membership_at(self.base_index);
        self.memberships = self.memberships.split_off(&(self.base_index + 1));
        self.memberships.insert(self.base_index, membership);
        self.snapshot = Some(snapshot);
    }

    /// Installs a leader's snapshot. Later entries stay only if the log matches the
    /// snapshot at its last index.
    pub(super) fn install(&mut self, snapshot: Arc<Snapshot>) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            let keep = snapshot.index;
            self.compact(snapshot, keep);
        } else {
            self.reset_to(snapshot);
        }
    }

    fn reset_to(&mut self, snapshot: Arc<Snapshot>) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.memberships = BTreeMap::from([(snapshot.index, snapshot.membership.clone())]);
        self.entries.clear();
        self.offsets.clear();
        self.snapshot = Some(snapshot);
    }
}
