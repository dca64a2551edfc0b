use thiserror::Error as ThisError;

/// Why an envelope can't be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// The codec failed, or bytes were left over.
    #[error("frame of `{length}` bytes can't be read: {reason}")]
    Unreadable {
        /// Number of bytes received; 0 if encoding failed.
        length: usize,
        /// Reason that the codec reported.
        reason: String,
    },
}
