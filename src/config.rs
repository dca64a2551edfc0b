//! Numbered configuration: what was accepted and what is in force.
//!
//! [`Submissions`] is replicated state: every control VM applies the commands of the
//! quorum log to it in the same order. [`Replicator`] runs in every process: it keeps
//! the highest committed version that it has received and passes it on to its peers.
//!
//! Expected load: 1,400 changes a day, each of a few lines in a document of about
//! 1 MB, for 520 processes with a budget of 3 KB a second each. Without patches every
//! change would cost each process 1 MB, about 16 KB a second. See
//! `docs/design/config.md`.

mod command;
mod error;
mod history;
mod input;
mod message;
mod output;
mod patch;
mod peer;
mod peer_answer;
mod replicator;
mod reply;
mod settings;
mod standing;
mod submissions;
mod version;

pub use command::Command;
pub use error::Error;
pub use input::Input;
pub use message::Message;
pub use output::Output;
pub use patch::Patch;
pub use patch::Step;
pub use peer::Peer;
pub use replicator::Replicator;
pub use reply::Reply;
pub use settings::Settings;
pub use standing::Standing;
pub use submissions::Submissions;
pub use version::Head;
pub use version::Version;
