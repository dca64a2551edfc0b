use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// Why a process can't run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Data folder that holds state already, or none where there must be some.
    #[error("data folder `{}` holds state already; founding is for empty folders", .0.display())]
    Founded(PathBuf),
    /// Keys that can't be used.
    #[error("keys: {0}")]
    Keys(#[from] crate::keys::Error),
    /// Links that can't be started.
    #[error("links: {0}")]
    Link(#[from] crate::link::Error),
    /// Address that can't be listened on.
    #[error("can't listen on `{address}`: {source}")]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Metrics that can't be kept or written down.
    #[error("metrics: {0}")]
    Measure(#[from] prometheus::Error),
    /// Metrics that can't be sent.
    #[error("can't send metrics to `{address}`: {source}")]
    Metrics {
        /// Collector.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The process has no log to open.
    #[error("this process is no control and has no log")]
    NoLog,
    /// Recording that can't be written.
    #[error(transparent)]
    Replay(#[from] crate::replay::Error),
    /// Data folder that can't be used.
    #[error("data folder: {0}")]
    Storage(#[from] crate::storage::Error),
    /// Thread that can't be started.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
    /// File of events that can't be written.
    #[error("time line: {0}")]
    Timeline(#[from] crate::timeline::Error),
}
