use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Answer;

/// What follows a try that went wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// Try again, at another upstream if there is one.
    Again {
        /// Time to wait first.
        after: Duration,
    },
    /// Tell the caller.
    Stop {
        /// What to tell.
        answer: Answer,
    },
}
