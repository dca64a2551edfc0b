use thiserror::Error as ThisError;

/// Why bytes are no frame.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// Bytes that the codec can't read.
    #[error("frame of `{length}` bytes can't be read: {reason}")]
    Unreadable {
        /// Bytes received.
        length: usize,
        /// What the codec said.
        reason: String,
    },
}
