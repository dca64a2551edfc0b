use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::admission;
use crate::health;
use crate::retry::Attempt;
use crate::retry::Limits;

/// What one of the machines is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// To a gate.
    Gate(admission::Input),
    /// To a judge.
    Judge(health::Input),
    /// To a policy.
    Policy(Retry),
    /// To a judge: the operator changed what it goes by.
    Setup(health::Config),
}

/// What a retry policy is told or asked.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Retry {
    /// A try went wrong; what follows?
    Decide(Attempt),
    /// The first try of a request.
    First,
    /// May a second copy go out?
    Hedge {
        /// Time left until the deadline.
        remaining: Duration,
    },
    /// A second copy ended.
    Hedged {
        /// Whether it answered first.
        won: bool,
    },
    /// The limits changed.
    Limit(Limits),
    /// A whole answer came.
    Note {
        /// Time since the start of its try.
        time: Duration,
    },
}
