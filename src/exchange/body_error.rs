//! Why a body could not be read to its end.

use std::io;
use std::time::Duration;

use thiserror::Error;

/// A body that is not whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The peer closed before the body's end.
    #[error("body was cut `{0}` bytes before its declared end")]
    Cut(u64),
    /// The connection failed.
    #[error("body broke off: {0}")]
    Io(#[from] io::Error),
    /// It is longer than allowed.
    #[error("body is over its limit of `{0}` bytes")]
    Limit(u64),
    /// A chunk's frame can't be read.
    #[error("chunk `{0}` can't be read")]
    Malformed(String),
    /// Nothing came of it for so long.
    #[error("nothing came of the body for `{} ms`", .0.as_millis())]
    Stalled(Duration),
}
