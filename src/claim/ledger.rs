//! Replicated state: claimed keys and their outcomes.

mod index;
mod tombstones;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;

use super::Action;
use super::ClaimId;
use super::Command;
use super::Error;
use super::Limits;
use super::Outcome;
use super::Reply;
use super::Request;
use super::Slot;
use super::record::Record;
use super::record::State;

use index::Index;
use tombstones::Tombstones;

/// Retry time for callers while the ledger is full; keys expire continuously.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Claimed keys and their outcomes; equal on every control VM after the same commands.
///
/// A key is granted to one claim. It becomes free again only when the claiming entry
/// reports that it did not dispatch, or when the key expires. In all other cases (the
/// entry crashes or never reports) its outcome is unknown, and it is not granted again.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    clock: Epoch,
    index: Index,
    limits: Limits,
    records: BTreeMap<Arc<Slot>, Record>,
    tombstones: Tombstones,
}

/// Content of a snapshot; the index is rebuilt from it.
#[derive(Deserialize, Serialize)]
struct Snapshot {
    clock: Epoch,
    limits: Limits,
    records: Vec<Record>,
    tombstones: Tombstones,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Applies a committed command and returns one reply for each action, in order.
    ///
    /// `at` is the proposer's wall clock as written in the log. If it jumps back, the
    /// ledger's clock stays at the latest time seen.
    pub fn apply(&mut self, at: Epoch, command: Command) -> Vec<Reply> {
        self.clock = self.clock.max(at);
        self.expire();
        command.actions.into_iter().map(|action| self.apply_action(action)).collect()
    }

    /// Number of stored keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the kept answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.index.answer_bytes()
    }

    /// Encodes the ledger as a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] if encoding fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let snapshot = Snapshot {
            clock: self.clock,
            limits: self.limits.clone(),
            records: self.records.values().cloned().collect(),
            tombstones: self.tombstones.clone(),
        };
        postcard::to_stdvec(&snapshot).map_err(snapshot_error)
    }

    /// Decodes a ledger from a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] if the bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let snapshot = postcard::from_bytes::<Snapshot>(bytes).map_err(snapshot_error)?;
        let mut ledger = Self::new(snapshot.limits);
        ledger.clock = snapshot.clock;
        ledger.tombstones = snapshot.tombstones;
        for record in snapshot.records {
            ledger.insert(record);
        }
        Ok(ledger)
    }

    fn apply_action(&mut self, action: Action) -> Reply {
        match action {
            Action::Abandon { claim, slot } => self.abandon(claim, &slot),
            Action::Claim { claim, request } => self.claim(claim, request),
            Action::Finish { claim, outcome, slot } => self.finish(&claim, &slot, outcome),
            Action::Start(claim) => self.start(&claim),
        }
    }

    /// Frees the key and remembers the claim's id as abandoned. A copy of the claim may
    /// still be in flight; if it were granted late, it would hold the key for an entry that
    /// has given up.
    fn abandon(&mut self, claim: ClaimId, slot: &Slot) -> Reply {
        let record = self.records.get(slot).filter(|record| record.claim == claim);
        if record.is_some_and(|record| matches!(record.state, State::Settled(_))) {
            return Reply::Gone;
        }
        if record.is_some() {
            self.remove(slot);
        }
        self.tombstones.insert(self.clock, claim, self.limits.tombstones);
        Reply::Abandoned
    }

    fn claim(&mut self, claim: ClaimId, request: Request) -> Reply {
        if self.tombstones.contains(&claim) {
            return Reply::Abandoned;
        }
        if let Some(record) = self.records.get(&request.slot) {
            return record.reply(self.clock, &claim, request.digest);
        }
        if self.is_full(&request.slot) {
            return Reply::Full { retry_after: FULL_RETRY_AFTER };
        }
        self.insert(Record {
            claim,
            digest: request.digest,
            expires: self.clock.saturating_add(request.limit).saturating_add(self.limits.window),
            limit: request.limit,
            since: self.clock,
            slot: Arc::new(request.slot),
            state: State::Open,
        });
        Reply::Granted
    }

    fn is_full(&self, slot: &Slot) -> bool {
        let own = self.index.count(&slot.caller);
        self.records.len() >= self.limits.claims || own >= self.limits.claims_per_caller
    }

    fn finish(&mut self, claim: &ClaimId, slot: &Slot, outcome: Outcome) -> Reply {
        let record = self.records.get(slot).filter(|record| record.claim == *claim);
        let Some(record) = record else { return Reply::Gone };
        if matches!(record.state, State::Settled(_)) {
            return Reply::Finished;
        }
        let Some(mut record) = self.remove(slot) else { return Reply::Gone };
        record.state = State::Settled(outcome.bounded());
        record.expires = self.clock.saturating_add(self.limits.window);
        self.insert(record);
        self.trim_answers();
        Reply::Finished
    }

    /// Marks open claims of earlier processes with the same name as lost, so that their
    /// callers get "unknown" at once instead of "in progress" until the limit.
    fn start(&mut self, claim: &ClaimId) -> Reply {
        for slot in self.index.open_before(claim) {
            if let Some(mut record) = self.remove(&slot) {
                record.state = State::Lost;
                self.insert(record);
            }
        }
        Reply::Started
    }

    fn trim_answers(&mut self) {
        while self.index.answer_bytes() > self.limits.answer_bytes {
            let Some(slot) = self.index.oldest_answer() else { return };
            let Some(mut record) = self.remove(&slot) else { return };
            if let State::Settled(outcome) = &mut record.state {
                outcome.drop_answer();
            }
            self.insert(record);
        }
    }

    fn expire(&mut self) {
        while let Some(slot) = self.index.expired(self.clock) {
            self.remove(&slot);
        }
        self.tombstones.expire(self.clock.saturating_sub(self.limits.tombstone_age));
    }

    fn insert(&mut self, record: Record) {
        self.index.insert(&record);
        self.records.insert(Arc::clone(&record.slot), record);
    }

    fn remove(&mut self, slot: &Slot) -> Option<Record> {
        let record = self.records.remove(slot)?;
        self.index.remove(&record);
        Some(record)
    }
}

fn snapshot_error(error: postcard::Error) -> Error {
    Error::Snapshot { reason: error.to_string() }
}
