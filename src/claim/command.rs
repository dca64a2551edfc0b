//! Commands of the ledger in the quorum log.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::ClaimId;
use super::Outcome;
use super::Slot;

/// Request that an entry wants to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Hash of method, target and body. A different request with the same key is a caller's
    /// mistake and must not get the first one's answer.
    pub digest: u128,
    /// Time after which an unfinished claim counts as unknown: the request's own deadline
    /// plus a grace period.
    pub limit: Duration,
    /// Slot that is claimed.
    pub slot: Slot,
}

/// Change of the ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// The claiming entry reports that it did not and will not dispatch.
    Abandon {
        /// The claim.
        claim: ClaimId,
        /// Slot that it claimed.
        slot: Slot,
    },
    /// An entry asks to run a request.
    Claim {
        /// The claim.
        claim: ClaimId,
        /// Request to run.
        request: Request,
    },
    /// An entry reports the outcome of a request.
    Finish {
        /// The claim.
        claim: ClaimId,
        /// Outcome of the request.
        outcome: Outcome,
        /// Slot that it claimed.
        slot: Slot,
    },
    /// A process started, so open claims of earlier processes with its name have unknown
    /// outcomes. The claim id carries the process's name and incarnation and has no slot.
    Start(ClaimId),
}

impl Action {
    /// Claim that the action concerns.
    pub fn claim(&self) -> &ClaimId {
        match self {
            Self::Abandon { claim, .. }
            | Self::Claim { claim, .. }
            | Self::Finish { claim, .. }
            | Self::Start(claim) => claim,
        }
    }

    /// Slot that the action concerns, if any.
    pub fn slot(&self) -> Option<&Slot> {
        match self {
            Self::Abandon { slot, .. } | Self::Finish { slot, .. } => Some(slot),
            Self::Claim { request, .. } => Some(&request.slot),
            Self::Start(_) => None,
        }
    }
}

/// Actions that are committed together, with one sync.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Command {
    /// Actions in order.
    pub actions: Vec<Action>,
}
