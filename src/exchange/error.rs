use thiserror::Error as ThisError;

/// Why a caller's request or connection is refused before any rule is applied.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// Body larger than its rule allows.
    #[error("body of `{size}` bytes is over the rule's limit of `{limit}` bytes")]
    BodySize {
        /// Allowed size in bytes.
        limit: u64,
        /// Declared or received size in bytes.
        size: u64,
    },
    /// More connections of callers than the process accepts.
    #[error("too many connections are open here; use another entry")]
    Connections,
    /// Byte that is not allowed in a message head.
    #[error("byte `{0:#04x}` in the head is not allowed: heads are ASCII text")]
    HeadByte(u8),
    /// More headers than the given limit.
    #[error("head has more than `{0}` headers")]
    HeaderCount(usize),
    /// Head larger than the given limit in bytes.
    #[error("head is longer than `{0}` bytes")]
    HeadSize(usize),
    /// End of the connection within a head.
    #[error("head breaks off")]
    Incomplete,
    /// Invalid or contradictory body lengths, as used in request smuggling.
    #[error("header `{0}` states more than one length, or one that is not a number")]
    Length(&'static str),
    /// Head that can't be parsed.
    #[error("request head `{0}` can't be read")]
    Malformed(String),
    /// Path that an upstream may interpret differently from the rules.
    #[error("path `{0}` holds an escaped or backward slash")]
    Path(String),
    /// Transfer coding other than chunked.
    #[error("transfer coding `{0}` is not supported: use `chunked`")]
    TransferCoding(String),
    /// Method that is not forwarded.
    #[error("method `{0}` is not passed on")]
    Method(String),
}

impl Error {
    /// HTTP status of the response to the caller.
    pub fn status(&self) -> u16 {
        match self {
            Self::BodySize { .. } => 413,
            Self::Connections => 503,
            Self::HeadByte(_)
            | Self::Incomplete
            | Self::Length(_)
            | Self::Malformed(_)
            | Self::Path(_) => 400,
            Self::HeadSize(_) | Self::HeaderCount(_) => 431,
            Self::Method(_) | Self::TransferCoding(_) => 501,
        }
    }
}
