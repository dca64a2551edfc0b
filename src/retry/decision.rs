use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Answer;

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// Retry, at another upstream if there is one.
    Again {
        /// Delay before the retry.
        after: Duration,
    },
    /// Don't retry; tell the caller.
    Stop {
        /// What the caller is told.
        answer: Answer,
    },
}
