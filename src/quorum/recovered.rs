//! State that is recovered from disk after a restart.

use std::collections::VecDeque;
use std::sync::Arc;

use super::entry::Entry;
use super::record::Identity;
use super::record::Record;
use super::snapshot::Snapshot;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// State after all records of one data folder; the default is an empty folder.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// Entries after the snapshot.
    pub entries: VecDeque<Entry>,
    /// Identity of the folder; `None` for an empty one.
    pub identity: Option<Identity>,
    /// Newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Last term seen.
    pub term: Term,
    /// Vote given in `term`.
    pub vote: Option<NodeId>,
}

impl Recovered {
    /// Applies one record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Ballot { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            Record::Entry(entry) => self.append(entry),
            Record::Identity(identity) => self.identity = Some(identity),
            Record::Snapshot(snapshot) => self.install(snapshot),
        }
    }

    /// Last index in the log.
    pub fn last(&self) -> Index {
        let base = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.back().map_or(base, |entry| entry.index)
    }

    fn append(&mut self, entry: Entry) {
        while self.entries.back().is_some_and(|last| last.index >= entry.index) {
            self.entries.pop_back();
        }
        self.entries.push_back(entry);
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        let same = |entry: &Entry| entry.index == snapshot.index && entry.term == snapshot.term;
        let continues = self.entries.iter().any(same);
        if !continues {
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > snapshot.index);
        self.snapshot = Some(snapshot);
    }
}
