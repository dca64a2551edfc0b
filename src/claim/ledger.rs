//! Replicated state: which keys were claimed, and what became of them.

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

/// When to come back to a full ledger: keys leave it one by one, all the time.
const FULL_RETRY: Duration = Duration::from_secs(30);

/// Which keys were claimed, and what became of them; the same on every control
/// VM after the same commands.
///
/// A key is granted to one claim. It is free again only when that claim's own
/// entry says that it did not dispatch, or when its window is over. All else (the
/// entry dies, or never tells) leaves it unknown, never free.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    clock: Epoch,
    index: Index,
    limits: Limits,
    records: BTreeMap<Arc<Slot>, Record>,
    tombstones: Tombstones,
}

/// What a snapshot holds; the index is made anew from it.
#[derive(Deserialize, Serialize)]
struct Image {
    clock: Epoch,
    limits: Limits,
    records: Vec<Record>,
    tombstones: Tombstones,
}

impl Ledger {
    /// Empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Applies a committed command; one reply for each action, in order.
    ///
    /// `at` is the proposer's wall clock as written into the log; a clock that
    /// jumps back is held at the latest time seen.
    pub fn apply(&mut self, at: Epoch, command: Command) -> Vec<Reply> {
        self.clock = self.clock.max(at);
        self.forget();
        command.actions.into_iter().map(|action| self.act(action)).collect()
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of the kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.index.answer_bytes()
    }

    /// Encoded form for a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] when the codec refuses.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let image = Image {
            clock: self.clock,
            limits: self.limits.clone(),
            records: self.records.values().cloned().collect(),
            tombstones: self.tombstones.clone(),
        };
        postcard::to_stdvec(&image).map_err(snapshot_error)
    }

    /// State from a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::Snapshot`] for bytes that are no snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let image = postcard::from_bytes::<Image>(bytes).map_err(snapshot_error)?;
        let mut ledger = Self::new(image.limits);
        ledger.clock = image.clock;
        ledger.tombstones = image.tombstones;
        for record in image.records {
            ledger.insert(record);
        }
        Ok(ledger)
    }

    fn act(&mut self, action: Action) -> Reply {
        match action {
            Action::Abandon { claim, slot } => self.abandon(claim, &slot),
            Action::Claim { claim, request } => self.claim(claim, request),
            Action::Finish { claim, outcome, slot } => self.finish(&claim, &slot, outcome),
            Action::Start(claim) => self.start(&claim),
        }
    }

    /// Frees the key. The claim's id stays behind: the claim itself may still be
    /// under way, and granted late it would hold the key for an entry that has
    /// given up.
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
            return Reply::Full { retry_after: FULL_RETRY };
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

    /// Closes what earlier processes of the same name left open, so that their
    /// callers get "unknown" at once and not "in progress" until the limit.
    fn start(&mut self, claim: &ClaimId) -> Reply {
        for slot in self.index.left_open(claim) {
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
                outcome.forget_answer();
            }
            self.insert(record);
        }
    }

    fn forget(&mut self) {
        while let Some(slot) = self.index.expired(self.clock) {
            self.remove(&slot);
        }
        self.tombstones.forget(self.clock.saturating_sub(self.limits.tombstone_age));
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
