use std::path::PathBuf;

/// Error when reading or recording a trace.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A line is not valid in a trace.
    #[error("trace `{}`, line `{line}`: {reason}", path.display())]
    Line {
        /// Line number, from 1.
        line: usize,
        /// Path of the trace.
        path: PathBuf,
        /// What is wrong with the line.
        reason: String,
    },
    /// A recording can't be opened for writing.
    #[error("recording `{}` can't be opened: {source}", path.display())]
    Open {
        /// Path of the recording.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A trace file can't be read.
    #[error("trace `{}` can't be read: {source}", path.display())]
    Read {
        /// Path of the trace.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
