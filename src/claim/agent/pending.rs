//! Claim of this process whose last action control has not confirmed.

use std::time::Duration;

use crate::claim::Action;
use crate::claim::ClaimId;
use crate::claim::Outcome;
use crate::claim::Request;
use crate::claim::Slot;
use crate::claim::Ticket;
use crate::clock::Moment;

/// Most doublings of the retry interval of a report: from 300 ms to 9.6 s.
const MAX_DOUBLINGS: u32 = 5;

/// Stage of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Withdrawn before dispatch; to be reported.
    Abandoning,
    /// Not answered yet.
    Claiming(Request),
    /// Finished; the outcome is to be reported.
    Finishing(Outcome),
    /// Granted; the exchange runs the request.
    Granted,
    /// Not a request: reports the start of the process.
    Starting,
}

/// Claim of this process whose last action control has not confirmed.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// When it is sent next.
    pub(super) due: Moment,
    /// When this stage times out.
    pub(super) timeout_at: Option<Moment>,
    /// Slot that is claimed.
    pub(super) slot: Slot,
    /// Current stage.
    pub(super) stage: Stage,
    /// Number that the exchange gave the request.
    pub(super) ticket: Ticket,
    /// Number of times it was sent in this stage.
    pub(super) attempts: u32,
}

impl Pending {
    /// Creates the report of the process's start.
    pub(super) fn start(now: Moment) -> Self {
        let slot = Slot { caller: "".into(), key: "".into(), service: "".into() };
        Self {
            due: now,
            timeout_at: None,
            slot,
            stage: Stage::Starting,
            ticket: Ticket::MAX,
            attempts: 0,
        }
    }

    /// Action to send in this stage; `None` if there is none.
    pub(super) fn action(&self, claim: ClaimId) -> Option<Action> {
        let slot = self.slot.clone();
        match &self.stage {
            Stage::Abandoning => Some(Action::Abandon { claim, slot }),
            Stage::Claiming(request) => Some(Action::Claim { claim, request: request.clone() }),
            Stage::Finishing(outcome) => {
                Some(Action::Finish { claim, outcome: outcome.clone(), slot })
            }
            Stage::Granted => None,
            Stage::Starting => Some(Action::Start(claim)),
        }
    }

    /// Time until the next attempt. Claims retry at a constant interval, since a caller
    /// waits. Reports back off, so that while control is away for hours each costs one
    /// message in ten seconds.
    pub(super) fn retry_delay(&self, interval: Duration) -> Duration {
        match self.stage {
            Stage::Claiming(_) => interval,
            _ => interval * (1 << self.attempts.saturating_sub(1).min(MAX_DOUBLINGS)),
        }
    }
}
