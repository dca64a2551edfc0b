use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// Error that keeps a process from running.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The data folder of a new quorum holds state already.
    #[error("data folder `{}` holds state already; founding needs an empty one", .0.display())]
    AlreadyFounded(PathBuf),
    /// The keys can't be used.
    #[error("keys: {0}")]
    Keys(#[from] crate::keys::Error),
    /// The links can't be started.
    #[error("links: {0}")]
    Link(#[from] crate::link::Error),
    /// An address can't be listened on.
    #[error("can't listen on `{address}`: {source}")]
    Listen {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Metrics can't be published.
    #[error(transparent)]
    Metrics(#[from] crate::metrics::Error),
    /// Only a control has a log.
    #[error("this process is not a control and has no log")]
    NoLog,
    /// The recording can't be written.
    #[error(transparent)]
    Replay(#[from] crate::replay::Error),
    /// The data folder can't be used.
    #[error("data folder: {0}")]
    Storage(#[from] crate::storage::Error),
    /// The control thread can't be started.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
    /// The file of the time line can't be written.
    #[error("time line: {0}")]
    Timeline(#[from] crate::timeline::Error),
}
