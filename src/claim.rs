//! At-most-once execution of non-idempotent requests with an idempotency key.
//!
//! [`Ledger`] is replicated state, to which the commands of the quorum log are
//! applied. [`Agent`] runs in every entry and claims keys before dispatch.
//! [`Batcher`] runs on the control leader and batches the agents' actions.
//!
//! Load pattern: a caller whose answer was lost resends with the same key, at once
//! or after hours, through any entry. Without the ledger two entries could each run
//! the request. See `docs/design/claim.md`.

mod agent;
mod answer;
mod batcher;
mod command;
mod error;
mod id;
mod input;
mod ledger;
mod limits;
mod message;
mod outcome;
mod output;
mod record;
mod reply;

pub use agent::Agent;
pub use answer::Answer;
pub use batcher::Batcher;
pub use command::Action;
pub use command::Command;
pub use command::Request;
pub use error::Error;
pub use id::ClaimId;
pub use id::Slot;
pub use id::Ticket;
pub use input::Input;
pub use ledger::Ledger;
pub use limits::Limits;
pub use message::Message;
pub use message::Receipt;
pub use outcome::KeptAnswer;
pub use outcome::Outcome;
pub use output::Output;
pub use reply::Reply;
