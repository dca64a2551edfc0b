//! Errors of reading a body.

use std::io;
use std::time::Duration;

use thiserror::Error;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The peer closed the connection before the end of the body or chunk, with this many
    /// declared bytes missing; 0 if it closed between chunks.
    #[error("body was cut `{0}` bytes before its declared end")]
    Cut(u64),
    /// The connection failed.
    #[error("body broke off: {0}")]
    Io(#[from] io::Error),
    /// The body is longer than this limit, in bytes.
    #[error("body is over its limit of `{0}` bytes")]
    Limit(u64),
    /// The size line or the end of a chunk is invalid.
    #[error("chunk `{0}` can't be read")]
    Malformed(String),
    /// No byte of the body arrived for this long.
    #[error("nothing came of the body for `{} ms`", .0.as_millis())]
    Stalled(Duration),
}

impl BodyError {
    /// HTTP status of the response to the caller.
    pub fn status(&self) -> u16 {
        match self {
            Self::Cut(_) | Self::Io(_) | Self::Malformed(_) => 400,
            Self::Limit(_) => 413,
            Self::Stalled(_) => 408,
        }
    }
}
