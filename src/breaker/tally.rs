//! What callers received of one upstream in some span.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::health::Kind;

/// What callers received of one upstream in some span.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Whole answers.
    pub answered: u32,
    /// Answers that were cut or spoiled.
    pub broken: u32,
    /// Failures that were the upstream's own answer.
    pub failed: u32,
    /// Answers that never came, or not in time. Unlike broken ones they are no proof of a
    /// fault: of an upstream with more work than it can do they are the usual end.
    pub hung: u32,
    /// Requests that were past their usual time without an answer.
    pub late: u32,
    /// Time until the heads of whole answers, summed, in milliseconds.
    pub millis: u64,
    /// Trials that were answered whole.
    pub passed: u32,
    /// Connections that could not be opened.
    pub unreached: u32,
}

impl Tally {
    /// One outcome.
    pub fn of(kind: Kind, latency: Duration) -> Self {
        let mut tally = Self::default();
        match kind {
            Kind::ConnectFailed => tally.unreached = 1,
            Kind::Cut => tally.broken = 1,
            Kind::Silent | Kind::Timeout => tally.hung = 1,
            Kind::Refused => {}
            Kind::ServerError => tally.failed = 1,
            Kind::Success => {
                tally.answered = 1;
                tally.millis = latency.as_millis() as u64;
            }
        }
        tally
    }

    /// One outcome of a trial.
    pub fn of_trial(kind: Kind, latency: Duration) -> Self {
        let tally = Self::of(kind, latency);
        Self { passed: tally.answered, ..tally }
    }

    /// Adds another span's.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.broken += other.broken;
        self.failed += other.failed;
        self.hung += other.hung;
        self.late += other.late;
        self.millis += other.millis;
        self.passed += other.passed;
        self.unreached += other.unreached;
    }

    /// Takes away what was added before.
    pub(super) fn subtract(&mut self, other: &Self) {
        self.answered -= other.answered;
        self.broken -= other.broken;
        self.failed -= other.failed;
        self.hung -= other.hung;
        self.late -= other.late;
        self.millis -= other.millis;
        self.passed -= other.passed;
        self.unreached -= other.unreached;
    }

    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether others should know at once: the next request may go there.
    pub fn is_urgent(&self) -> bool {
        self.broken + self.hung + self.late + self.passed > 0
    }

    /// Requests whose answer was broken, never came, or is late.
    pub fn lost(&self) -> u32 {
        self.broken + self.hung + self.late
    }

    /// Requests that ended.
    pub fn ended(&self) -> u32 {
        self.answered + self.broken + self.failed + self.hung
    }
}
