use serde::Deserialize;
use serde::Serialize;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// No connection could be established.
    ConnectFailed,
    /// The response ended early.
    Cut,
    /// The deadline passed.
    Deadline,
    /// A complete response with a status of 500 or above.
    Failed {
        /// Status code of the response.
        status: u16,
    },
    /// The upstream's documented refusal, which proves that the request did not run.
    RefusedNotRun,
    /// No byte of a response arrived within the first-byte timeout.
    Silent,
}

impl Outcome {
    /// Whether a retry of an idempotent request may succeed. An upstream that responds with 501 or
    /// 505 would do so again.
    pub(super) fn is_transient(self) -> bool {
        match self {
            Self::ConnectFailed | Self::Cut | Self::RefusedNotRun | Self::Silent => true,
            Self::Deadline => false,
            Self::Failed { status } => matches!(status, 500 | 502..=504),
        }
    }
}
