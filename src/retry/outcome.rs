use serde::Deserialize;
use serde::Serialize;

/// How a try went wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// No connection came about.
    ConnectFailed,
    /// The answer ended before its end.
    Cut,
    /// The deadline passed.
    Deadline,
    /// A whole answer with a status of 500 or above.
    Failed {
        /// The status.
        status: u16,
    },
    /// The upstream's documented refusal, which proves that it did not run.
    RefusedNotRun,
    /// No byte of an answer came in the time for the first one.
    Silent,
}

impl Outcome {
    /// Whether another try of an idempotent request may end otherwise. An
    /// upstream that says 501 or 505 says it again.
    pub(super) fn may_pass(self) -> bool {
        match self {
            Self::ConnectFailed | Self::Cut | Self::RefusedNotRun | Self::Silent => true,
            Self::Deadline => false,
            Self::Failed { status } => matches!(status, 500 | 502..=504),
        }
    }
}
