//! What an agent is told.

use crate::clock::Moment;
use crate::id::NodeId;

use super::Message;
use super::Outcome;
use super::Request;
use super::Ticket;

/// Event for an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A granted request was proved not to have run (for example, no connection
    /// could be made) and will not be tried again.
    Abandon(Ticket),
    /// A keyed request wants to be dispatched.
    Begin {
        /// When its caller stops waiting.
        deadline: Moment,
        /// What is to be run.
        request: Request,
        /// Its number, not used before in this process.
        ticket: Ticket,
    },
    /// Control replicas, from settings or membership.
    Controls(Vec<NodeId>),
    /// A granted request has come to its end.
    Finish {
        /// What became of it.
        outcome: Outcome,
        /// Its number.
        ticket: Ticket,
    },
    /// A message arrived.
    Receive {
        /// Its sender, as its certificate says.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Time has passed; wanted at [`super::Agent::next_at`].
    Tick,
}
