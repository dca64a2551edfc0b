//! Counts of what callers received of one upstream.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Moment;
use crate::health::Kind;

/// Counts of what callers received of one upstream in some time span.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Errors in a service where a single one is a sign of a fault.
    pub alarming: u32,
    /// Complete answers.
    pub answered: u32,
    /// Trials that began.
    pub begun: u32,
    /// Answers that were truncated or corrupted.
    pub broken: u32,
    /// Complete answers to requests that had waited at least as long as the overdue ones that
    /// opened the breaker.
    pub cleared: u32,
    /// Error answers of the upstream itself.
    pub failed: u32,
    /// Requests that got no answer, or none in time. Unlike broken answers they do not prove a
    /// fault: at an overloaded upstream they are the usual outcome.
    pub hung: u32,
    /// Requests that waited longer than usual without an answer.
    pub late: u32,
    /// Time to the heads of complete answers, summed, in milliseconds.
    pub millis: u64,
    /// Trials for which no connection could be opened.
    pub missed: u32,
    /// Requests counted in `hung` that are still in flight; they are counted again when they end.
    pub overdue: u32,
    /// Trials that got a complete answer.
    pub passed: u32,
    /// Trials that failed.
    pub spent: u32,
    /// Connections that could not be opened.
    pub unreached: u32,
    /// How long the requests counted in `hung` had waited, summed, in milliseconds.
    pub waited: u64,
}

impl Counts {
    /// Counts one outcome.
    pub fn from_outcome(kind: Kind, latency: Duration) -> Self {
        let mut counts = Self::default();
        match kind {
            Kind::ConnectFailed => counts.unreached = 1,
            Kind::Cut => counts.broken = 1,
            Kind::Silent | Kind::Timeout => {
                counts.hung = 1;
                counts.waited = latency.as_millis() as u64;
            }
            Kind::Refused => {}
            Kind::ServerError => counts.failed = 1,
            Kind::Success => {
                counts.answered = 1;
                counts.millis = latency.as_millis() as u64;
            }
        }
        counts
    }

    /// Counts the outcome of a trial.
    pub fn from_trial(kind: Kind, latency: Duration) -> Self {
        let counts = Self::from_outcome(kind, latency);
        let spent = counts.broken + counts.failed + counts.hung;
        Self { missed: counts.unreached, passed: counts.answered, spent, ..counts }
    }

    /// Counts a trial that begins.
    pub fn from_trial_start() -> Self {
        Self { begun: 1, ..Self::default() }
    }

    /// Adds the counts of another span.
    pub fn add(&mut self, other: &Self) {
        self.alarming += other.alarming;
        self.answered += other.answered;
        self.begun += other.begun;
        self.broken += other.broken;
        self.cleared += other.cleared;
        self.failed += other.failed;
        self.hung += other.hung;
        self.late += other.late;
        self.millis += other.millis;
        self.missed += other.missed;
        self.overdue += other.overdue;
        self.passed += other.passed;
        self.spent += other.spent;
        self.unreached += other.unreached;
        self.waited += other.waited;
    }

    /// Removes counts that were added before.
    pub(super) fn subtract(&mut self, other: &Self) {
        self.alarming -= other.alarming;
        self.answered -= other.answered;
        self.begun -= other.begun;
        self.broken -= other.broken;
        self.cleared -= other.cleared;
        self.failed -= other.failed;
        self.hung -= other.hung;
        self.late -= other.late;
        self.millis -= other.millis;
        self.missed -= other.missed;
        self.overdue -= other.overdue;
        self.passed -= other.passed;
        self.spent -= other.spent;
        self.unreached -= other.unreached;
        self.waited -= other.waited;
    }

    /// Mean wait of the hung requests if all of them are still in flight; `None` if one has
    /// ended, or if something else is certain evidence of a fault.
    pub(super) fn overdue_wait(&self) -> Option<Duration> {
        let is_certain = self.broken + self.unreached > 0 || self.hung > self.overdue;
        let is_only_overdue = self.overdue > 0 && !is_certain;
        is_only_overdue.then(|| Duration::from_millis(self.waited / u64::from(self.hung)))
    }

    /// The counts without overdue requests, if one was answered after all.
    pub(super) fn without_answered_overdue(&self) -> Self {
        if self.cleared == 0 {
            return *self;
        }
        let hung = self.hung - self.overdue;
        let waited = if hung > 0 { self.waited } else { 0 };
        Self { hung, overdue: 0, waited, ..*self }
    }

    /// Whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether other entries should be told at once, as their next request may go to this
    /// upstream.
    pub fn is_urgent(&self) -> bool {
        let outcomes = self.alarming + self.broken + self.cleared + self.hung + self.late;
        outcomes + self.begun + self.passed + self.unreached > 0
    }

    /// Requests whose answer broke, never came or is late.
    pub fn lost(&self) -> u32 {
        self.broken + self.hung + self.late
    }

    /// Whether a trial has ended, or its request waits for far longer than usual.
    pub(super) fn ends_trial(&self) -> bool {
        self.hung + self.missed + self.passed + self.spent > 0
    }

    /// Requests that the upstream lost or answered with an error.
    pub(super) fn losses(&self) -> u32 {
        self.broken + self.failed + self.hung
    }

    /// The counts without requests that got no answer.
    pub(super) fn without_hung(&self) -> Self {
        Self { hung: 0, overdue: 0, waited: 0, ..*self }
    }

    /// When the upstream was last at fault, by counts received `now`. A hung request is evidence
    /// from its start only: that its caller gives up now shows nothing newer.
    pub(super) fn fault_at(&self, now: Moment) -> Moment {
        if self.broken + self.failed + self.unreached > 0 || self.hung == 0 {
            return now;
        }
        let waited = Duration::from_millis(self.waited / u64::from(self.hung));
        now.saturating_sub(waited)
    }

    /// Start of the answered requests, by counts received `now`.
    pub(super) fn started_at(&self, now: Moment) -> Moment {
        let latency = self.millis / u64::from(self.answered.max(1));
        now.saturating_sub(Duration::from_millis(latency))
    }

    /// Completed requests, including those that hung.
    pub fn ended(&self) -> u32 {
        self.answered + self.broken + self.failed + self.hung
    }
}
