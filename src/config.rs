//! Numbered configuration: what was accepted and what is in force.
//!
//! [`Submissions`] is replicated state: commands of the quorum log are applied to it in
//! the same order on every control VM. [`Replicator`] runs in every process: it holds
//! the highest committed version that it has heard of and spreads it.
//!
//! Load pattern: 1,400 changes a day, each a few lines of a document of about
//! 1 MB, for 520 processes with 3 KB a second each. Without patches each change
//! would cost every process 1 MB, about 16 KB a second. See
//! `docs/design/config.md`.

mod command;
mod error;
mod input;
mod message;
mod output;
mod patch;
mod peer;
mod replicator;
mod reply;
mod settings;
mod standing;
mod submissions;
mod trail;
mod version;
mod witness;

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
