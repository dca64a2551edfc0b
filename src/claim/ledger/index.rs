//! Secondary indexes over the ledger's records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::claim::ClaimId;
use crate::claim::Slot;
use crate::claim::record::Record;
use crate::claim::record::State;
use crate::clock::Epoch;
use crate::id::CallerId;

/// Secondary indexes and totals over the records, updated at every insert and removal.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    answer_bytes: usize,
    answers: BTreeSet<(Epoch, Arc<Slot>)>,
    callers: BTreeMap<CallerId, usize>,
    expiries: BTreeSet<(Epoch, Arc<Slot>)>,
    open: BTreeMap<ClaimId, Arc<Slot>>,
}

impl Index {
    /// Adds a record.
    pub(super) fn insert(&mut self, record: &Record) {
        let entry = (record.expires, Arc::clone(&record.slot));
        if record.kept_size() > 0 {
            self.answer_bytes += record.kept_size();
            self.answers.insert(entry.clone());
        }
        self.expiries.insert(entry);
        *self.callers.entry(record.slot.caller.clone()).or_default() += 1;
        if record.state == State::Open {
            self.open.insert(record.claim.clone(), Arc::clone(&record.slot));
        }
    }

    /// Removes a record.
    pub(super) fn remove(&mut self, record: &Record) {
        let entry = (record.expires, Arc::clone(&record.slot));
        if self.answers.remove(&entry) {
            self.answer_bytes -= record.kept_size();
        }
        self.expiries.remove(&entry);
        self.open.remove(&record.claim);
        if let Some(count) = self.callers.get_mut(&record.slot.caller) {
            *count -= 1;
            if *count == 0 {
                self.callers.remove(&record.slot.caller);
            }
        }
    }

    /// Total size of all kept answers, in bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Number of keys of a caller.
    pub(super) fn count(&self, caller: &CallerId) -> usize {
        self.callers.get(caller).copied().unwrap_or_default()
    }

    /// Slot that expired first, if it has expired by `now`.
    pub(super) fn expired(&self, now: Epoch) -> Option<Arc<Slot>> {
        let (at, slot) = self.expiries.first()?;
        (*at <= now).then(|| Arc::clone(slot))
    }

    /// Slots with open claims of earlier processes of the entry in `claim`.
    pub(super) fn open_before(&self, claim: &ClaimId) -> Vec<Arc<Slot>> {
        let first = ClaimId { entry: claim.entry.clone(), incarnation: 0, sequence: 0 };
        let end = ClaimId { sequence: 0, ..claim.clone() };
        self.open.range(first..end).map(|(_, slot)| Arc::clone(slot)).collect()
    }

    /// Slot of the kept answer that expires first.
    pub(super) fn oldest_answer(&self) -> Option<Arc<Slot>> {
        self.answers.first().map(|(_, slot)| Arc::clone(slot))
    }
}
