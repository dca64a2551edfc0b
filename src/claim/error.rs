//! Errors of the claim slice.

use thiserror::Error;

/// Why a snapshot could not be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The codec reported a fault.
    #[error("snapshot of the claims is unreadable: {reason}")]
    Snapshot {
        /// What it reported.
        reason: String,
    },
}
