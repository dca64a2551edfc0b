//! What an agent wants done.

use std::time::Duration;

use crate::id::NodeId;

use super::Answer;
use super::Message;
use super::Reply;
use super::Ticket;

/// Effect that the driver carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Do not dispatch; tell the caller this.
    Answer {
        /// What is known of the key.
        answer: Answer,
        /// The request.
        ticket: Ticket,
    },
    /// Dispatch now, then tell [`super::Input::Finish`] or
    /// [`super::Input::Abandon`].
    Granted(Ticket),
    /// Do not dispatch; refuse the request as not run.
    Refused {
        /// When the caller may come back.
        retry_after: Duration,
        /// The request.
        ticket: Ticket,
    },
    /// Send a message.
    Send {
        /// The message.
        message: Message,
        /// Its receiver.
        to: NodeId,
    },
}

impl Output {
    /// What the ledger's reply to a claim means for its request; `None` for a
    /// reply that does not answer a claim.
    pub(super) fn of_reply(ticket: Ticket, reply: Reply) -> Option<Self> {
        let answer = match reply {
            Reply::Conflict => Answer::Conflict,
            Reply::Done(outcome) => Answer::Done(outcome),
            Reply::Full { retry_after } => return Some(Self::Refused { retry_after, ticket }),
            Reply::InProgress { by, since } => Answer::InProgress { by, since },
            Reply::Unknown { .. } => Answer::Unknown,
            Reply::Abandoned | Reply::Finished | Reply::Gone | Reply::Granted | Reply::Started => {
                return None;
            }
        };
        Some(Self::Answer { answer, ticket })
    }
}
