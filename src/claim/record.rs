//! What the ledger knows of one key.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;

use super::ClaimId;
use super::Outcome;
use super::Reply;
use super::Slot;

/// How far a claim has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum State {
    /// Granted; its entry may dispatch or has done so.
    Open,
    /// Its entry told the outcome.
    Settled(Outcome),
    /// Its entry restarted before it told.
    Lost,
}

/// What the ledger knows of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Record {
    /// Claim that was granted.
    pub(super) claim: ClaimId,
    /// Hash of its request.
    pub(super) digest: u128,
    /// When the key may be forgotten.
    pub(super) expires: Epoch,
    /// How long it may stay open.
    pub(super) limit: Duration,
    /// When it was granted.
    pub(super) since: Epoch,
    /// The key.
    pub(super) slot: Arc<Slot>,
    /// How far it has come.
    pub(super) state: State,
}

impl Record {
    /// Answer to a claim by `claim` for a request with this digest.
    pub(super) fn reply(&self, now: Epoch, claim: &ClaimId, digest: u128) -> Reply {
        let own = self.claim == *claim;
        if self.digest != digest {
            return Reply::Conflict;
        }
        let overdue = now.saturating_sub(self.since) > self.limit;
        match &self.state {
            State::Open if own && !overdue => Reply::Granted,
            State::Open if !overdue => {
                Reply::InProgress { by: self.claim.entry.clone(), since: self.since }
            }
            State::Settled(Outcome::Ran { answer, status }) => {
                Reply::Done(Outcome::Ran { answer: answer.clone(), status: *status })
            }
            _ => Reply::Unknown { by: self.claim.entry.clone(), since: self.since },
        }
    }

    /// Bytes of its kept answer.
    pub(super) fn kept_size(&self) -> usize {
        match &self.state {
            State::Settled(outcome) => outcome.kept_size(),
            _ => 0,
        }
    }
}
