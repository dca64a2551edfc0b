use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// Why a command could not be carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Process that can't be asked.
    #[error("can't reach `{address}`: {reason}")]
    Ask {
        /// Its operators' address.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// Demo that failed.
    #[error(transparent)]
    Demo(#[from] crate::demo::Error),
    /// Keys that can't be made.
    #[error(transparent)]
    Keys(#[from] crate::keys::Error),
    /// Load that can't be run.
    #[error(transparent)]
    Load(#[from] crate::load::Error),
    /// Option that is needed.
    #[error("option `{0}` is needed; see `--help`")]
    Missing(&'static str),
    /// Process that can't run.
    #[error(transparent)]
    Node(#[from] crate::node::Error),
    /// File that can't be read or written.
    #[error("file `{path}`: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Trace that can't be read.
    #[error(transparent)]
    Replay(#[from] crate::replay::Error),
    /// Settings with mistakes.
    #[error("{0}")]
    Settings(#[from] crate::settings::Error),
    /// Time line that can't be made.
    #[error(transparent)]
    Timeline(#[from] crate::timeline::Error),
    /// Stand-in that can't run.
    #[error(transparent)]
    Upstream(#[from] crate::upstream::Error),
    /// Value that an option does not take.
    #[error("`{value}` is not allowed for `{option}`; {allowed}")]
    Value {
        /// What is allowed.
        allowed: String,
        /// Name of the option.
        option: &'static str,
        /// What was given.
        value: String,
    },
}
