use std::path::PathBuf;

/// Why a trace can't be read, or recorded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line that is no part of a trace.
    #[error("trace `{}`, line `{line}`: {reason}", path.display())]
    Line {
        /// Line, from 1.
        line: usize,
        /// The trace.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// A recording that can't be written.
    #[error("recording `{}` can't be opened: {source}", path.display())]
    Open {
        /// The recording.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file that can't be read.
    #[error("trace `{}` can't be read: {source}", path.display())]
    Read {
        /// The trace.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
}
