//! Outputs of an agent.

use std::time::Duration;

use crate::id::NodeId;

use super::Answer;
use super::Message;
use super::Reply;
use super::Ticket;

/// Output of an agent, carried out by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Don't dispatch; answer the caller.
    Answer {
        /// Answer to the caller.
        answer: Answer,
        /// Number of the request.
        ticket: Ticket,
    },
    /// Dispatch now, then report [`super::Input::Finish`] or
    /// [`super::Input::Abandon`].
    Granted(Ticket),
    /// Don't dispatch; refuse the request as not run.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Number of the request.
        ticket: Ticket,
    },
    /// Send a message.
    Send {
        /// The message.
        message: Message,
        /// Receiver.
        to: NodeId,
    },
}

impl Output {
    /// Converts the ledger's reply to a claim; `None` for a grant and for replies to other
    /// actions.
    pub(super) fn from_reply(ticket: Ticket, reply: Reply) -> Option<Self> {
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
