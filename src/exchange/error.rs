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
    /// Byte that no message head may hold.
    #[error("byte `{0:#04x}` in the head is not allowed: heads are ASCII text")]
    HeadByte(u8),
    /// Head larger than the bound, in bytes.
    #[error("head is longer than `{0}` bytes")]
    HeadSize(usize),
    /// Lengths that contradict each other, as smuggled requests have them.
    #[error("header `{0}` states more than one length, or one that is not a number")]
    Length(&'static str),
    /// Head that the HTTP library can't read.
    #[error("request head `{0}` can't be read")]
    Malformed(String),
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
            Self::HeadByte(_) | Self::Length(_) | Self::Malformed(_) => 400,
            Self::HeadSize(_) => 431,
            Self::Method(_) | Self::TransferCoding(_) => 501,
        }
    }
}
