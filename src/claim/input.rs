//! Inputs of an agent.

use crate::clock::Moment;
use crate::id::NodeId;

use super::Message;
use super::Outcome;
use super::Request;
use super::Ticket;

/// Input of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A granted request provably did not run (for example, since no connection could be
    /// made) and will not be retried.
    Abandon(Ticket),
    /// A request with a key is to be dispatched.
    Begin {
        /// When the caller stops waiting.
        deadline: Moment,
        /// Request to run.
        request: Request,
        /// Number of the request, unique in this process.
        ticket: Ticket,
    },
    /// Control replicas, from settings or membership.
    Controls(Vec<NodeId>),
    /// A granted request has ended.
    Finish {
        /// Outcome of the request.
        outcome: Outcome,
        /// Number of the request.
        ticket: Ticket,
    },
    /// A message arrived.
    Receive {
        /// Sender, as named by its certificate.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; due at [`super::Agent::next_at`].
    Tick,
}
