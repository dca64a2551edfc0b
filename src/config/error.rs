//! Errors of the configuration slice.

use thiserror::Error;

use crate::id::ConfigNumber;

/// Why a patch, a snapshot or a document could not be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The patch starts from another version than the one at hand.
    #[error("patch to configuration `{number}` starts from another base")]
    Base {
        /// Configuration that the patch leads to.
        number: ConfigNumber,
    },
    /// The document that came out does not have the announced hash.
    #[error("document of configuration `{number}` does not match its hash")]
    Hash {
        /// Configuration whose document is damaged.
        number: ConfigNumber,
    },
    /// The snapshot could not be read.
    #[error("snapshot of the configuration is unreadable: {reason}")]
    Snapshot {
        /// What the decoder reported.
        reason: String,
    },
    /// A step of the patch names bytes that the base does not have.
    #[error("patch to configuration `{number}` copies outside its base")]
    Step {
        /// Configuration that the patch leads to.
        number: ConfigNumber,
    },
}
