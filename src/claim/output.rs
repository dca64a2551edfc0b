//! What an agent wants done.

use std::time::Duration;

use crate::id::NodeId;

use super::Answer;
use super::Message;
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
