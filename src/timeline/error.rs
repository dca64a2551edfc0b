//! Errors of event files.

use std::path::PathBuf;

use thiserror::Error;

/// Errors of opening, reading and writing event files.
#[derive(Debug, Error)]
pub enum Error {
    /// The file could not be opened or created.
    #[error("could not open event file `{path}`")]
    Open {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file could not be read.
    #[error("could not read event file `{path}`")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The writer thread could not be started.
    #[error("could not start the writer of event file `{path}`")]
    Thread {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
}
