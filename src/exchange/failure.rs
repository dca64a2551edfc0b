use std::time::Duration;

use thiserror::Error as ThisError;

/// How an attempt at an upstream ended without a whole answer.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Failure {
    /// Caller closed its connection; the upstream's was closed to cancel the work.
    #[error("caller is gone")]
    CallerGone,
    /// Connection closed before an answer's head.
    #[error("connection closed before an answer (reused: `{reused}`)")]
    Closed {
        /// Whether the connection had served an earlier request and lain idle since: the
        /// upstream may have closed it for that.
        reused: bool,
    },
    /// Connection could not be opened: nothing was sent.
    #[error("can't connect: `{0}`")]
    Connect(String),
    /// Answer's body ended before its declared length.
    #[error("answer was cut: `{0}`")]
    Cut(String),
    /// The request's own deadline passed.
    #[error("deadline passed after `{} ms`", .0.as_millis())]
    Expired(Duration),
    /// Answer that is not HTTP/1.1 as we speak it.
    #[error("answer can't be read: `{0}`")]
    Malformed(String),
    /// No byte of an answer within its time limit.
    #[error("no answer within `{} ms`", .0.as_millis())]
    Silent(Duration),
    /// The caller's upload ended short or broke its limit: the caller's own fault.
    #[error("upload failed: `{0}`")]
    Upload(String),
}

impl Failure {
    /// Whether the attempt is proved not to have reached the upstream.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Connect(_))
    }

    /// Whether it says anything about the upstream.
    pub fn is_upstream_fault(&self) -> bool {
        !matches!(self, Self::CallerGone | Self::Closed { reused: true } | Self::Upload(_))
    }
}
