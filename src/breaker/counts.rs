//! What callers received of one upstream in some span.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Moment;
use crate::health::Kind;

/// What callers received of one upstream in some span.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Errors of a service where one is a sign of a fault.
    pub alarming: u32,
    /// Whole answers.
    pub answered: u32,
    /// Answers that were cut or spoiled.
    pub broken: u32,
    /// Whole answers to requests that had waited for as long as those that took the upstream out.
    pub cleared: u32,
    /// Failures that were the upstream's own answer.
    pub failed: u32,
    /// Answers that never came, or not in time. Unlike broken ones they are no proof of a
    /// fault: of an upstream with more work than it can do they are the usual end.
    pub hung: u32,
    /// Requests that were past their usual time without an answer.
    pub late: u32,
    /// Time until the heads of whole answers, summed, in milliseconds.
    pub millis: u64,
    /// Those of them that are still under way: they are counted once more when they end.
    pub overdue: u32,
    /// Trials that were answered whole.
    pub passed: u32,
    /// Those of them that were made by requests that could be sent again elsewhere.
    pub spared: u32,
    /// Trials that failed.
    pub spent: u32,
    /// Connections that could not be opened.
    pub unreached: u32,
    /// How long the requests without an answer had waited, summed, in milliseconds.
    pub waited: u64,
}

impl Counts {
    /// One outcome.
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

    /// One outcome of a trial; `is_repeatable` where its request could be sent again elsewhere.
    pub fn from_trial(kind: Kind, latency: Duration, is_repeatable: bool) -> Self {
        let counts = Self::from_outcome(kind, latency);
        let spared = if is_repeatable { counts.answered } else { 0 };
        let spent = counts.broken + counts.failed + counts.hung;
        Self { passed: counts.answered, spared, spent, ..counts }
    }

    /// Adds another span's.
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

    /// Takes away what was added before.
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

    /// How long a request had waited that is taken for hung; `None` where one ended so, or
    /// something else is a certain fault.
    pub(super) fn presumed_after(&self) -> Option<Duration> {
        let is_certain = self.broken + self.unreached > 0 || self.hung > self.overdue;
        let is_presumed = self.overdue > 0 && !is_certain;
        is_presumed.then(|| Duration::from_millis(self.waited / u64::from(self.hung)))
    }

    /// The same without requests that were taken for hung, where they turned out to be slow.
    pub(super) fn without_cleared(&self) -> Self {
        if self.cleared == 0 {
            return *self;
        }
        let hung = self.hung - self.overdue;
        let waited = if hung > 0 { self.waited } else { 0 };
        Self { hung, overdue: 0, waited, ..*self }
    }

    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether others should know at once: the next request may go there.
    pub fn is_urgent(&self) -> bool {
        self.alarming + self.broken + self.cleared + self.hung + self.late + self.passed > 0
    }

    /// Requests whose answer was broken, never came, or is late.
    pub fn lost(&self) -> u32 {
        self.broken + self.hung + self.late
    }

    /// Requests that the upstream did not serve.
    pub(super) fn faults(&self) -> u32 {
        self.broken + self.failed + self.hung + self.unreached
    }

    /// When the upstream was last at fault, by what is received `now`. A request without an
    /// answer was held from its start on; that its caller gives up now tells nothing newer.
    pub(super) fn fault_at(&self, now: Moment) -> Moment {
        if self.broken + self.failed + self.unreached > 0 || self.hung == 0 {
            return now;
        }
        let waited = Duration::from_millis(self.waited / u64::from(self.hung));
        now.saturating_sub(waited)
    }

    /// Requests that failed, but for trials.
    pub(super) fn failures(&self) -> u32 {
        let lost = self.broken + self.failed + self.hung;
        lost.saturating_sub(self.overdue + self.spent)
    }

    /// Share of the requests that failed, but for trials.
    pub(super) fn failing(&self) -> f64 {
        let ended = self.ended().saturating_sub(self.overdue);
        f64::from(self.failures()) / f64::from(ended.max(1))
    }

    /// Requests that ended.
    pub fn ended(&self) -> u32 {
        self.answered + self.broken + self.failed + self.hung
    }
}
