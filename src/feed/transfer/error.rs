//! Errors of received changes.

use thiserror::Error as ThisError;

use crate::config;

/// Reasons for which a received change can't be used.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The patch does not fit the version that the entry holds.
    #[error("patch can't be applied: {0}")]
    Patch(#[from] config::Error),
    /// The bytes can't be decompressed, or exceed the size limit.
    #[error("change can't be decompressed: {0}")]
    Compression(#[from] std::io::Error),
    /// The decompressed bytes are neither a patch nor a document.
    #[error("change can't be decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The bytes or the version that they contain are not those announced.
    #[error("change does not match its announcement")]
    Mismatch,
    /// The change is a patch, and the entry holds no version.
    #[error("patch without a version to apply it to")]
    NoBase,
}
