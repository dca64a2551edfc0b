//! At-most-once ledger for keyed non-idempotent requests.
//!
//! [`Ledger`] is replicated state: commands of the quorum log are applied to it.
//! [`Agent`] runs in every entry and claims keys before dispatch. [`Desk`] runs
//! beside the leader of control and groups what the agents ask.
//!
//! Load pattern: a caller whose answer was lost resends with its key, at once or
//! after hours, through whichever entry it likes. Without the ledger two entries
//! would each run the request once. See `docs/design/claim.md`.

mod agent;
mod answer;
mod command;
mod desk;
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
pub use command::Action;
pub use command::Command;
pub use command::Request;
pub use desk::Desk;
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
