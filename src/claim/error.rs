//! Errors of the claim slice.

use thiserror::Error;

/// Why a snapshot could not be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The snapshot could not be encoded or decoded.
    #[error("snapshot of the claims is unreadable: {reason}")]
    Snapshot {
        /// Error of the codec.
        reason: String,
    },
}
