use std::time::Duration;

use thiserror::Error as ThisError;

/// Why an attempt at an upstream ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Failure {
    /// The caller closed its connection; the upstream's connection is closed to cancel the work.
    #[error("caller is gone")]
    CallerGone,
    /// The connection was closed before the head of an answer.
    #[error("connection closed before an answer (reused: `{reused}`)")]
    Closed {
        /// Whether the connection had served an earlier request and had been idle long enough
        /// that the upstream may have closed it for being idle.
        reused: bool,
    },
    /// The connection could not be opened; nothing was sent.
    #[error("can't connect: `{0}`")]
    Connect(String),
    /// The answer ended before it was complete.
    #[error("answer was cut: `{0}`")]
    Cut(String),
    /// The request's own deadline, this long, passed.
    #[error("deadline passed after `{} ms`", .0.as_millis())]
    Expired(Duration),
    /// This process leaves and would not finish the request; nothing was sent.
    #[error("this process leaves")]
    Leaving,
    /// The answer is not HTTP/1.1 in the form supported here.
    #[error("answer can't be read: `{0}`")]
    Malformed(String),
    /// No head of an answer arrived within this time.
    #[error("no answer within `{} ms`", .0.as_millis())]
    Silent(Duration),
    /// The body was already streamed to an upstream; nothing was sent.
    #[error("the body can't be sent again")]
    Spent,
    /// The upstream asked for no requests before this one was sent, or is gone; nothing was sent.
    #[error("the upstream rests, leaves or is gone")]
    Withheld,
    /// The caller's upload was incomplete or exceeded its limit; the upstream is not at fault.
    #[error("upload failed: `{0}`")]
    Upload(String),
}

impl Failure {
    /// Whether the request certainly did not reach the upstream.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Leaving | Self::Spent | Self::Withheld)
    }

    /// Whether the failure counts against the upstream's health. A caller that disconnects or
    /// sends an invalid body, and an idle connection that the upstream closed, do not.
    pub fn is_upstream_fault(&self) -> bool {
        !matches!(
            self,
            Self::CallerGone
                | Self::Closed { reused: true }
                | Self::Leaving
                | Self::Spent
                | Self::Upload(_)
                | Self::Withheld
        )
    }
}
