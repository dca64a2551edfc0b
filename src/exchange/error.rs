use thiserror::Error as ThisError;

/// What is wrong with a request that a caller sent.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// Body larger than its rule allows.
    #[error("body of `{size}` bytes is over the rule's limit of `{limit}` bytes")]
    BodySize {
        /// Bytes allowed.
        limit: u64,
        /// Bytes announced or seen.
        size: u64,
    },
    /// More callers' connections than the process takes.
    #[error("too many connections are open here; use another entry")]
    Connections,
    /// Byte that no message head may hold.
    #[error("byte `{0:#04x}` in the head is not allowed: heads are ASCII text")]
    HeadByte(u8),
    /// More headers than are read.
    #[error("head has more than `{0}` headers")]
    HeaderCount(usize),
    /// Head larger than the bound, in bytes.
    #[error("head is longer than `{0}` bytes")]
    HeadSize(usize),
    /// Lengths that contradict each other, as smuggled requests have them.
    #[error("header `{0}` states more than one length, or one that is not a number")]
    Length(&'static str),
    /// Head that the HTTP library can't read.
    #[error("request head `{0}` can't be read")]
    Malformed(String),
    /// Path that an upstream may read as another than the rules matched.
    #[error("path `{0}` holds an escaped or backward slash")]
    Path(String),
    /// Transfer coding other than chunked.
    #[error("transfer coding `{0}` is not supported: use `chunked`")]
    TransferCoding(String),
    /// Method that is not passed on.
    #[error("method `{0}` is not passed on")]
    Method(String),
}

impl Error {
    /// Status of the answer that tells the caller.
    pub fn status(&self) -> u16 {
        match self {
            Self::BodySize { .. } => 413,
            Self::Connections => 503,
            Self::HeadByte(_) | Self::Length(_) | Self::Malformed(_) | Self::Path(_) => 400,
            Self::HeadSize(_) | Self::HeaderCount(_) => 431,
            Self::Method(_) | Self::TransferCoding(_) => 501,
        }
    }
}
