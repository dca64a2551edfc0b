use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// Reasons for which a command can't be carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A process can't be reached.
    #[error("can't reach `{address}`: {reason}")]
    Ask {
        /// Operators' address of the process.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The demo failed.
    #[error(transparent)]
    Demo(#[from] crate::demo::Error),
    /// Keys can't be created.
    #[error(transparent)]
    Keys(#[from] crate::keys::Error),
    /// The load can't be run.
    #[error(transparent)]
    Load(#[from] crate::load::Error),
    /// A required option is missing.
    #[error("option `{0}` is needed; see `--help`")]
    Missing(&'static str),
    /// The process can't run.
    #[error(transparent)]
    Node(#[from] crate::node::Error),
    /// A file can't be read or written.
    #[error("file `{path}`: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A trace can't be read.
    #[error(transparent)]
    Replay(#[from] crate::replay::Error),
    /// The settings can't be loaded.
    #[error("{0}")]
    Settings(#[from] crate::settings::Error),
    /// The time line can't be created.
    #[error(transparent)]
    Timeline(#[from] crate::timeline::Error),
    /// The test upstream can't run.
    #[error(transparent)]
    Upstream(#[from] crate::upstream::Error),
    /// A value is not allowed for an option.
    #[error("`{value}` is not allowed for `{option}`; {allowed}")]
    Value {
        /// Allowed values.
        allowed: String,
        /// Name of the option.
        option: &'static str,
        /// Value that was given.
        value: String,
    },
}
