use thiserror::Error as ThisError;

/// Why the demo can't be run.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Folder or socket that can't be used.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// Keys that can't be made.
    #[error(transparent)]
    Keys(#[from] crate::keys::Error),
    /// Load that can't be run.
    #[error(transparent)]
    Load(#[from] crate::load::Error),
    /// Process that can't be started.
    #[error(transparent)]
    Node(#[from] crate::node::Error),
    /// Settings with mistakes.
    #[error(transparent)]
    Settings(#[from] crate::settings::Error),
    /// Something that did not happen in time.
    #[error("`{0}` did not happen in time")]
    Stuck(&'static str),
    /// Time line that can't be read.
    #[error(transparent)]
    Timeline(#[from] crate::timeline::Error),
    /// Stand-in that can't be started.
    #[error(transparent)]
    Upstream(#[from] crate::upstream::Error),
}
