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
    /// Requests counted in `hung` that are still in flight; they are counted again when they end.
    pub overdue: u32,
    /// Trials that got a complete answer.
    pub passed: u32,
    /// Trials counted in `passed` whose requests could be retried elsewhere.
    pub spared: u32,
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

    /// Counts the outcome of a trial; `is_repeatable` if its request could be retried elsewhere.
    pub fn from_trial(kind: Kind, latency: Duration, is_repeatable: bool) -> Self {
        let counts = Self::from_outcome(kind, latency);
        let spared = if is_repeatable { counts.answered } else { 0 };
        let spent = counts.broken + counts.failed + counts.hung;
        Self { passed: counts.answered, spared, spent, ..counts }
    }

    /// Adds the counts of another span.
    pub fn add(&mut self, other: &Self) {
        self.alarming += other.alarming;
        self.answered += other.answered;
        self.broken += other.broken;
        self.cleared += other.cleared;
        self.failed += other.failed;
        self.hung += other.hung;
        self.late += other.late;
        self.millis += other.millis;
        self.overdue += other.overdue;
        self.passed += other.passed;
        self.spared += other.spared;
        self.spent += other.spent;
        self.unreached += other.unreached;
        self.waited += other.waited;
    }

    /// Removes counts that were added before.
    pub(super) fn subtract(&mut self, other: &Self) {
        self.alarming -= other.alarming;
        self.answered -= other.answered;
        self.broken -= other.broken;
        self.cleared -= other.cleared;
        self.failed -= other.failed;
        self.hung -= other.hung;
        self.late -= other.late;
        self.millis -= other.millis;
        self.overdue -= other.overdue;
        self.passed -= other.passed;
        self.spared -= other.spared;
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
        self.alarming + self.broken + self.cleared + self.hung + self.late + self.passed > 0
    }

    /// Requests whose answer broke, never came or is late.
    pub fn lost(&self) -> u32 {
        self.broken + self.hung + self.late
    }

    /// Requests that the upstream did not serve.
    pub(super) fn faults(&self) -> u32 {
        self.broken + self.failed + self.hung + self.unreached
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

    /// Failed requests, not counting trials.
    pub(super) fn failures(&self) -> u32 {
        let lost = self.broken + self.failed + self.hung;
        lost.saturating_sub(self.overdue + self.spent)
    }

    /// Failed requests, not counting trials, as a share of the completed ones.
    pub(super) fn failure_share(&self) -> f64 {
        let ended = self.ended().saturating_sub(self.overdue);
        f64::from(self.failures()) / f64::from(ended.max(1))
    }

    /// Completed requests, including those that hung.
    pub fn ended(&self) -> u32 {
        self.answered + self.broken + self.failed + self.hung
    }
}
