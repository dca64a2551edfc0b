use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Answer;
use super::Outcome;

/// A try that went wrong, and what may follow from it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Whether the request's body can be sent once more from its start.
    pub body_kept: bool,
    /// Whether a byte of the answer went on to the caller.
    pub head_sent: bool,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Most upstreams that the request may be sent to.
    #[serde(default = "Attempt::any")]
    pub limit: u32,
    /// How it went wrong.
    pub outcome: Outcome,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Upstreams that it was sent to.
    #[serde(default)]
    pub sends: u32,
    /// Whether a byte of the request may have left for the upstream.
    pub sent: bool,
    /// Tries so far, this one included.
    pub tries: u32,
}

impl Attempt {
    fn any() -> u32 {
        u32::MAX
    }

    /// Whether it certainly did not run: no byte left, or the upstream's
    /// documented refusal came. A connection that was reported as failed after
    /// bytes went out proves nothing, whatever the library calls it.
    pub fn is_not_run(&self) -> bool {
        !self.head_sent && (!self.sent || self.outcome == Outcome::RefusedNotRun)
    }

    /// What the caller is told if nothing more is tried.
    pub fn answer(&self) -> Answer {
        let whole = matches!(self.outcome, Outcome::Failed { .. }) && !self.head_sent;
        match self.is_not_run() {
            true => Answer::NotRun,
            false if whole || self.idempotent => Answer::Failed,
            false => Answer::Unknown,
        }
    }

    /// Whether another try can do no harm and may end otherwise.
    pub fn is_safe(&self) -> bool {
        let again = self.is_not_run() || self.idempotent;
        let whole = self.body_kept || !self.sent;
        again && whole && !self.head_sent && self.outcome.may_pass()
    }
}
