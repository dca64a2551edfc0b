//! Errors of the numbered configuration.

use thiserror::Error;

use crate::id::ConfigNumber;

/// Reasons for which a patch, a snapshot or a document can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The patch starts from a version other than the one it was applied to.
    #[error("patch to configuration `{number}` starts from another base")]
    Base {
        /// Number of the configuration that the patch produces.
        number: ConfigNumber,
    },
    /// The resulting document does not have the hash that the patch announced.
    #[error("document of configuration `{number}` does not match its hash")]
    Hash {
        /// Number of the configuration whose document is damaged.
        number: ConfigNumber,
    },
    /// The snapshot could not be encoded or decoded.
    #[error("snapshot of the configuration is unreadable: {reason}")]
    Snapshot {
        /// Error of the codec.
        reason: String,
    },
    /// A step of the patch copies a range that the base does not have, or the resulting
    /// document exceeds the size limit.
    #[error("patch to configuration `{number}` copies outside its base")]
    Step {
        /// Number of the configuration that the patch produces.
        number: ConfigNumber,
    },
}
