//! One claim of this process that control has not heard the last of.

use std::time::Duration;

use crate::claim::Action;
use crate::claim::ClaimId;
use crate::claim::Outcome;
use crate::claim::Request;
use crate::claim::Slot;
use crate::claim::Ticket;
use crate::clock::Moment;

/// Doublings of the pace of a report: 300 ms become 9.6 s.
const BACKOFF_LIMIT: u32 = 5;

/// How far a claim of this process has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Given up before dispatch; to be told.
    Abandoning,
    /// Not granted yet.
    Asking(Request),
    /// Ended; to be told.
    Finishing(Outcome),
    /// Granted; the exchange has it.
    Held,
    /// Stands for the start of the process.
    Starting,
}

/// One claim of this process that control has not heard the last of.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// When it is to be sent.
    pub(super) due: Moment,
    /// When this stage is given up.
    pub(super) ends: Option<Moment>,
    /// What is claimed.
    pub(super) slot: Slot,
    /// How far it has come.
    pub(super) stage: Stage,
    /// The exchange's number.
    pub(super) ticket: Ticket,
    /// How often it was sent in this stage.
    pub(super) tries: u32,
}

impl Pending {
    /// Stands for the start of the process.
    pub(super) fn start(now: Moment) -> Self {
        let slot = Slot { caller: "".into(), key: "".into(), service: "".into() };
        Self { due: now, ends: None, slot, stage: Stage::Starting, ticket: Ticket::MAX, tries: 0 }
    }

    /// What is to be sent in this stage.
    pub(super) fn action(&self, claim: ClaimId) -> Option<Action> {
        let slot = self.slot.clone();
        match &self.stage {
            Stage::Abandoning => Some(Action::Abandon { claim, slot }),
            Stage::Asking(request) => Some(Action::Claim { claim, request: request.clone() }),
            Stage::Finishing(outcome) => {
                Some(Action::Finish { claim, outcome: outcome.clone(), slot })
            }
            Stage::Held => None,
            Stage::Starting => Some(Action::Start(claim)),
        }
    }

    /// Time to the next try. A claim's caller waits, so it is made again at the
    /// same pace; reports back off, so that control's absence for hours costs a
    /// message in ten seconds.
    pub(super) fn retry(&self, pace: Duration) -> Duration {
        match self.stage {
            Stage::Asking(_) => pace,
            _ => pace * (1 << self.tries.saturating_sub(1).min(BACKOFF_LIMIT)),
        }
    }
}
