//! Errors of the time line.

use std::path::PathBuf;

use thiserror::Error;

/// What went wrong with a file of events.
#[derive(Debug, Error)]
pub enum Error {
    /// The file could not be opened or created.
    #[error("could not open event file `{path}`")]
    Open {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file could not be read.
    #[error("could not read event file `{path}`")]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The writer's thread could not be started.
    #[error("could not start the writer of event file `{path}`")]
    Thread {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}
