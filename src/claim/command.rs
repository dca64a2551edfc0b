//! What the quorum log carries for the ledger.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::ClaimId;
use super::Outcome;
use super::Slot;

/// Wish to run a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Hash of method, target and body: another request under the same key is a
    /// caller's mistake, which must not get the first one's answer.
    pub digest: u128,
    /// Time after which an unfinished claim counts as unknown: the request's own
    /// deadline and some grace.
    pub limit: Duration,
    /// What is claimed.
    pub slot: Slot,
}

/// One change of the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// The claim's own entry tells that it did not and will not dispatch.
    Abandon {
        /// The claim.
        claim: ClaimId,
        /// What it claimed.
        slot: Slot,
    },
    /// An entry asks to run a request.
    Claim {
        /// The claim.
        claim: ClaimId,
        /// What is to be run.
        request: Request,
    },
    /// An entry tells what became of a request.
    Finish {
        /// The claim.
        claim: ClaimId,
        /// What became of it.
        outcome: Outcome,
        /// What it claimed.
        slot: Slot,
    },
    /// A process started: what earlier ones of its name left open is unknown. The
    /// claim carries its name and incarnation, and stands for no slot.
    Start(ClaimId),
}

impl Action {
    /// Claim that it is about.
    pub fn claim(&self) -> &ClaimId {
        match self {
            Self::Abandon { claim, .. }
            | Self::Claim { claim, .. }
            | Self::Finish { claim, .. }
            | Self::Start(claim) => claim,
        }
    }

    /// Slot that it is about, if any.
    pub fn slot(&self) -> Option<&Slot> {
        match self {
            Self::Abandon { slot, .. } | Self::Finish { slot, .. } => Some(slot),
            Self::Claim { request, .. } => Some(&request.slot),
            Self::Start(_) => None,
        }
    }
}

/// Changes of the ledger that are committed together, with one sync.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// The changes in their order.
    pub actions: Vec<Action>,
}
