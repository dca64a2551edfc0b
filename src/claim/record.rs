//! Record of one claimed key in the ledger.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;

use super::ClaimId;
use super::Outcome;
use super::Reply;
use super::Slot;

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum State {
    /// Granted; the entry may have dispatched the request.
    Open,
    /// The entry reported the outcome.
    Settled(Outcome),
    /// The entry restarted before it reported an outcome.
    Lost,
}

/// Record of one claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Record {
    /// Claim that was granted.
    pub(super) claim: ClaimId,
    /// Hash of the request.
    pub(super) digest: u128,
    /// When the key expires.
    pub(super) expires: Epoch,
    /// Time after which an open claim counts as unknown.
    pub(super) limit: Duration,
    /// When it was granted.
    pub(super) since: Epoch,
    /// Slot that was claimed.
    pub(super) slot: Arc<Slot>,
    /// State of the claim.
    pub(super) state: State,
}

impl Record {
    /// Reply to `claim` for a request with this digest.
    pub(super) fn reply(&self, now: Epoch, claim: &ClaimId, digest: u128) -> Reply {
        let is_own = self.claim == *claim;
        if self.digest != digest {
            return Reply::Conflict;
        }
        let is_overdue = now.saturating_sub(self.since) > self.limit;
        match &self.state {
            State::Open if is_own && !is_overdue => Reply::Granted,
            State::Open if !is_overdue => {
                Reply::InProgress { by: self.claim.entry.clone(), since: self.since }
            }
            State::Settled(Outcome::Ran { answer, status }) => {
                Reply::Done(Outcome::Ran { answer: answer.clone(), status: *status })
            }
            _ => Reply::Unknown { by: self.claim.entry.clone(), since: self.since },
        }
    }

    /// Size of the kept answer, in bytes.
    pub(super) fn kept_size(&self) -> usize {
        match &self.state {
            State::Settled(outcome) => outcome.kept_size(),
            _ => 0,
        }
    }
}
