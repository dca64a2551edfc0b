//! The breaker of one upstream.

use std::time::Duration;

use super::Cause;
use super::Counts;
use super::Window;
use crate::clock::Moment;

/// A broken answer takes an upstream out for this long before it is tried: nine in ten are the
/// first sign of a fault that lasts for seconds, and what is sent meanwhile is lost.
const OPEN: Duration = Duration::from_millis(350);
/// A failed trial takes it out for this long. Where a third of the upstreams are at fault at
/// any time, the others have hardly room for all work, and one that is well again must not
/// stay out: a second longer each time leaves queues that do not drain. Mean worth of loaded
/// days with four seeds: 0.530 with 0.8 s growing to 2.4 s, 0.546 with 0.8 s, 0.558 with
/// 0.5 s, 0.590 with 0.3 s on the smaller site; 0.557, 0.577, 0.599, 0.619 on the larger one.
const AGAIN: Duration = Duration::from_millis(300);
/// An error alone takes it out for this long, as the last choice: most such upstreams are well,
/// and what is under way there shows soon if this one is not.
const DOUBTED: Duration = Duration::from_millis(100);
/// Requests past their usual time within this span, with no answer in it, are a fault: the
/// upstream holds all it gets.
const HELD: u32 = 3;
const HELD_SPAN: Duration = Duration::from_millis(800);
/// Failures of its own within the window that make a fault of it, where they are also this
/// share of what ended: usual ones are one in a hundred.
const FAILURES: u32 = 3;
const FAILING: f64 = 0.4;
/// Connections of this entry that failed within the window: the path is gone, perhaps only
/// from here.
const UNREACHED: u32 = 2;
/// Connections of all entries that failed within the window, with no answer to anybody: the
/// upstream is gone.
const LOST: u32 = 4;
/// Trials that have to go well, one after the other: a fault that breaks most answers lets one
/// in six through.
const TRIALS: u32 = 2;
/// Hung requests within the window that make a fault of a crowded service's upstream, where
/// they are also this share of what ended: while all have more work than they can do, each
/// lets some of its requests run out of time, and taking it out leaves the others still less
/// time. Gray ones that hang their requests hang half of them and more.
const HUNG: u32 = 3;
const HANGING: f64 = 0.6;

/// Whether an upstream gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// As usual.
    Closed,
    /// None until then; then it is tried.
    Open {
        /// When it is tried.
        until: Moment,
    },
    /// Trials only.
    HalfOpen {
        /// Since when.
        since: Moment,
        /// Trials that went well.
        passed: u32,
    },
}

/// The breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    broken_at: Moment,
    cause: Cause,
    cleared: bool,
    crowded: bool,
    doubts: bool,
    failed_at: Moment,
    is_doubted: bool,
    opened_at: Moment,
    own: Window,
    passed_at: Moment,
    /// How long a request had waited that took it out though it may yet be answered; `None`
    /// where something certain did.
    presumed_after: Option<Duration>,
    state: State,
    window: Window,
}

impl Default for Circuit {
    fn default() -> Self {
        let window = Window::default();
        let own = window.clone();
        Self {
            broken_at: Moment::ZERO,
            cause: Cause::Broken,
            cleared: false,
            crowded: false,
            doubts: false,
            failed_at: Moment::ZERO,
            is_doubted: false,
            opened_at: Moment::ZERO,
            own,
            passed_at: Moment::ZERO,
            presumed_after: None,
            state: State::Closed,
            window,
        }
    }
}

impl Circuit {
    /// Whether the upstream gets work.
    pub fn state(&self) -> State {
        self.state
    }

    /// What the window holds.
    pub fn recent(&self) -> Counts {
        self.window.sum()
    }

    /// Whether a single error is all that speaks against it.
    pub fn is_doubted(&self) -> bool {
        self.is_doubted
    }

    /// When a caller last received something broken.
    pub fn broken_at(&self) -> Moment {
        self.broken_at
    }

    /// What took it out, the last time.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Whether it is back because what had taken it out was no fault.
    pub fn was_cleared(&self) -> bool {
        self.cleared
    }

    /// Whether this shows that the upstream was taken out for a request that was only slow: one
    /// that had waited as long was answered whole.
    fn is_cleared_by(&self, counts: &Counts) -> bool {
        let latency = Duration::from_millis(counts.millis);
        self.presumed_after.is_some_and(|after| counts.answered == 1 && latency >= after)
    }

    /// When its present or last outage began, and when that was last known to go on.
    pub fn outage(&self) -> (Moment, Moment) {
        (self.opened_at, self.failed_at)
    }

    /// How long its last outage lasted: until between the last trial that failed and the first
    /// that went well.
    pub fn lasted(&self) -> Duration {
        let known = self.failed_at.saturating_sub(self.opened_at);
        known + self.passed_at.saturating_sub(self.failed_at) / 2
    }

    /// Sets whether the service has more work than its upstreams can do.
    pub fn set_crowded(&mut self, crowded: bool) {
        self.crowded = crowded;
    }

    /// Sets whether one error of the service's upstreams is a sign of a fault.
    pub fn set_doubts(&mut self, doubts: bool) {
        self.doubts = doubts;
    }

    /// What callers received within the window.
    pub fn recent_at(&self, now: Moment) -> Counts {
        self.window.at(now)
    }

    /// Whether callers of other entries lately got whole answers, and nothing broken.
    pub fn serves_others(&self, now: Moment) -> bool {
        let (all, own) = (self.window.at(now), self.own.at(now));
        all.answered > own.answered && all.lost() == own.lost()
    }

    /// Takes what callers received here.
    pub fn record_own(&mut self, now: Moment, counts: &Counts) {
        let cleared = u32::from(self.is_cleared_by(counts));
        self.own.roll(now);
        self.own.add(now, counts);
        self.record(now, &Counts { cleared, ..*counts });
    }

    /// Takes what callers received at other entries.
    pub fn record(&mut self, now: Moment, counts: &Counts) {
        if self.presumed_after.is_some() && counts.cleared > 0 {
            self.close();
            self.cleared = true;
        }
        let counts = &counts.without_cleared();
        self.window.roll(now);
        self.window.add(now, counts);
        let fault_at = counts.fault_at(now);
        if counts.broken + counts.hung + counts.unreached > 0 {
            self.broken_at = now;
        }
        match self.state {
            State::Closed => {
                self.judge(now, counts);
                if self.doubts && counts.failed > 0 && self.state == State::Closed {
                    self.open(now, now, Cause::Failed, DOUBTED);
                    self.is_doubted = true;
                }
            }
            State::Open { .. } if self.is_doubted && counts.faults() > 0 => {
                self.is_doubted = false;
                self.failed_at = self.failed_at.max(fault_at);
                self.state = State::Open { until: now + OPEN };
            }
            State::Open { until } if counts.broken + counts.hung > 0 => {
                // Requests that were under way when it opened end now; they tell that the
                // fault goes on.
                self.ascertain(counts);
                self.failed_at = self.failed_at.max(fault_at);
                self.state = State::Open { until: until.max(fault_at + OPEN) };
            }
            State::Open { .. } => {}
            State::HalfOpen { .. } if counts.faults() > 0 => {
                // What hung from before the last failure on is no failure of a trial: taken for
                // one, each caller that gave up put the next trial off by seconds.
                self.ascertain(counts);
                if fault_at > self.failed_at {
                    self.cause = Cause::of(counts);
                    self.presumed_after = None;
                    self.is_doubted = false;
                    self.failed_at = fault_at;
                    self.state = State::Open { until: now + AGAIN };
                }
            }
            State::HalfOpen { since, passed } => {
                // Only trials count: answers to what was sent before the fault began come
                // and are told late.
                if passed == 0 && counts.passed > 0 {
                    self.passed_at = now;
                }
                self.pass(since, passed + counts.passed);
            }
        }
    }

    /// Moves on with time.
    pub fn tick(&mut self, now: Moment) {
        self.own.roll(now);
        self.window.roll(now);
        match self.state {
            State::Open { until } if now >= until => {
                self.state = State::HalfOpen { since: now, passed: 0 };
            }
            _ => {}
        }
    }

    /// When it wants to be told the time.
    pub fn wake(&self) -> Option<Moment> {
        match self.state {
            State::Closed | State::HalfOpen { .. } => None,
            State::Open { until } => Some(until),
        }
    }

    fn judge(&mut self, now: Moment, counts: &Counts) {
        let sum = self.window.sum();
        let failing = f64::from(sum.failed) >= FAILING * f64::from(sum.ended());
        let recent = self.window.since(now.saturating_sub(HELD_SPAN));
        let fault = counts.broken > 0
            || self.is_hanging(counts, &sum)
            || (sum.failed >= FAILURES && failing)
            || (recent.late >= HELD && recent.answered == 0)
            || self.own.sum().unreached >= UNREACHED
            || (sum.unreached >= LOST && sum.answered == 0);
        if fault {
            self.open(now, counts.fault_at(now), Cause::of(counts), OPEN);
            self.presumed_after = sum.presumed_after().and(counts.presumed_after());
        }
    }

    /// Takes it for certain that it is at fault, where this is certain.
    fn ascertain(&mut self, counts: &Counts) {
        if counts.presumed_after().is_none() && self.presumed_after.take().is_some() {
            self.cause = Cause::of(counts);
        }
    }

    fn open(&mut self, now: Moment, failed_at: Moment, cause: Cause, pause: Duration) {
        self.cause = cause;
        self.cleared = false;
        self.failed_at = failed_at;
        self.opened_at = failed_at;
        self.state = State::Open { until: now + pause };
    }

    fn is_hanging(&self, counts: &Counts, sum: &Counts) -> bool {
        if !self.crowded {
            return counts.hung > 0;
        }
        sum.hung >= HUNG && f64::from(sum.hung) >= HANGING * f64::from(sum.ended())
    }

    fn pass(&mut self, since: Moment, passed: u32) {
        self.state = State::HalfOpen { since, passed };
        if passed >= TRIALS {
            self.close();
        }
    }

    fn close(&mut self) {
        self.state = State::Closed;
        self.is_doubted = false;
        self.presumed_after = None;
        self.own.clear();
        self.window.clear();
    }
}
