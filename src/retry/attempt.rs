use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Answer;
use super::Outcome;

/// A failed attempt and what decides whether it may be retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Whether the request body can be sent again from its start. That nothing was sent does not
    /// show it.
    pub body_kept: bool,
    /// Whether any byte of the response was passed on to the caller.
    pub head_sent: bool,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// Maximum number of upstreams that the request may be sent to.
    #[serde(default = "Attempt::unlimited")]
    pub limit: u32,
    /// How the attempt failed.
    pub outcome: Outcome,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Number of upstreams that the request was sent to.
    #[serde(default)]
    pub sends: u32,
    /// Whether any byte of the request may have left for the upstream.
    pub sent: bool,
    /// Number of attempts so far, including this one.
    pub tries: u32,
}

impl Attempt {
    fn unlimited() -> u32 {
        u32::MAX
    }

    /// Whether the request certainly did not run: no byte was sent, or the upstream gave its
    /// documented refusal. A connection that failed after bytes were sent proves nothing, however
    /// the library reports it.
    pub fn is_not_run(&self) -> bool {
        !self.head_sent && (!self.sent || self.outcome == Outcome::RefusedNotRun)
    }

    /// What the caller is told if the request isn't retried.
    pub fn answer(&self) -> Answer {
        let is_complete = matches!(self.outcome, Outcome::Failed { .. }) && !self.head_sent;
        match self.is_not_run() {
            true => Answer::NotRun,
            false if is_complete || self.idempotent => Answer::Failed,
            false => Answer::Unknown,
        }
    }

    /// Whether a retry is harmless and may succeed.
    pub fn is_retryable(&self) -> bool {
        let is_repeatable = self.is_not_run() || self.idempotent;
        is_repeatable && self.body_kept && !self.head_sent && self.outcome.is_transient()
    }
}
