//! The circuit breaker of one upstream.

use std::time::Duration;

use super::Cause;
use super::Counts;
use super::Window;
use crate::clock::Moment;

/// How long a broken answer keeps an upstream out before its first trial. Nine in ten broken
/// answers are the first sign of a fault that lasts for seconds, and requests sent meanwhile
/// fail.
const OPEN_PAUSE: Duration = Duration::from_millis(350);
/// How long a failed trial keeps an upstream out. Where a third of the upstreams are faulty at
/// any time, the others have hardly any spare capacity. Longer pauses keep recovered upstreams
/// out: with a second more each time, the queues of the others do not drain.
const FAILED_TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// How long a single error makes an upstream a last resort. Most such upstreams are sound, and
/// requests already in flight there soon show if this one is not.
const SINGLE_ERROR_PAUSE: Duration = Duration::from_millis(100);
/// This many late requests within the window, with no answer in it, are a fault: the upstream
/// accepts requests and answers none.
const LATE_MIN: u32 = 3;
const LATE_WINDOW: Duration = Duration::from_millis(800);
/// Failed requests within the window that are a fault if they are also at least this share of the
/// completed ones. On a sound upstream one request in a hundred fails.
const FAILED_MIN: u32 = 3;
const FAILED_SHARE_MIN: f64 = 0.4;
/// Failed connections of this entry within the window that are a fault: the path is broken,
/// perhaps only from here.
const OWN_UNREACHED_MIN: u32 = 2;
/// Failed connections of all entries within the window that are a fault if no caller got an
/// answer: the upstream is gone.
const UNREACHED_MIN: u32 = 4;
/// Trials of other entries within the window for which no connection could be opened that show, if no
/// caller got an answer, that the upstream is gone and not the path of one entry.
const MISSED_MIN: u32 = 4;
/// Successful trials in a row that close the breaker. A fault that breaks most answers lets one
/// in six through.
const TRIALS_TO_CLOSE: u32 = 2;
/// Hung requests within the window that are a fault in an overloaded service if they are also at
/// least this share of the completed ones. Under overload every upstream lets some requests time
/// out, and taking one out leaves the others even less time. Upstreams with a gray failure that
/// hangs requests hang half of them or more.
const HUNG_MIN: u32 = 3;
const HUNG_SHARE_MIN: f64 = 0.6;

/// Whether an upstream gets requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Requests are sent as usual.
    Closed,
    /// No requests are sent until the deadline; then trials begin.
    Open {
        /// When trials begin.
        until: Moment,
    },
    /// Only trials are sent.
    HalfOpen {
        /// When trials began.
        since: Moment,
        /// Successful trials so far.
        passed: u32,
    },
}

/// The circuit breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    broken_at: Moment,
    cause: Cause,
    is_cleared: bool,
    is_overloaded: bool,
    opens_on_error: bool,
    failed_at: Moment,
    has_single_error: bool,
    opened_at: Moment,
    own: Window,
    passed_at: Moment,
    /// Start of the newest trial that was successful.
    sound_at: Option<Moment>,
    /// How long the overdue requests that opened the breaker had waited on average. They may
    /// still be answered; `None` if something certain opened it.
    overdue_wait: Option<Duration>,
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
            is_cleared: false,
            is_overloaded: false,
            opens_on_error: false,
            failed_at: Moment::ZERO,
            has_single_error: false,
            opened_at: Moment::ZERO,
            own,
            passed_at: Moment::ZERO,
            sound_at: None,
            overdue_wait: None,
            state: State::Closed,
            window,
        }
    }
}

impl Circuit {
    /// Current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Counts within the window as of the last update.
    pub fn recent(&self) -> Counts {
        self.window.sum()
    }

    /// Whether a single error is the only evidence of a fault.
    pub fn has_single_error(&self) -> bool {
        self.has_single_error
    }

    /// When a request last broke, hung or could not connect.
    pub fn broken_at(&self) -> Moment {
        self.broken_at
    }

    /// Why the breaker last opened.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Whether the breaker last closed because the overdue request that had opened it was
    /// answered after all.
    pub fn was_cleared(&self) -> bool {
        self.is_cleared
    }

    /// Whether the counts show that the request that opened the breaker was only slow: a request
    /// that waited at least as long was answered in full.
    fn is_cleared_by(&self, counts: &Counts) -> bool {
        let latency = Duration::from_millis(counts.millis);
        self.overdue_wait.is_some_and(|after| counts.answered == 1 && latency >= after)
    }

    /// Start of the current or last outage, and when its fault was last confirmed.
    pub fn outage(&self) -> (Moment, Moment) {
        (self.opened_at, self.failed_at)
    }

    /// When the first successful trial of the current row was recorded.
    pub fn passed_at(&self) -> Moment {
        self.passed_at
    }

    /// Duration of the last outage. Its end is taken to be halfway between the last failed trial
    /// and the first successful one.
    pub fn outage_duration(&self) -> Duration {
        let confirmed = self.failed_at.saturating_sub(self.opened_at);
        confirmed + self.passed_at.saturating_sub(self.failed_at) / 2
    }

    /// Sets whether the service is overloaded, so that hung requests alone are weak evidence.
    pub fn set_overloaded(&mut self, is_overloaded: bool) {
        self.is_overloaded = is_overloaded;
    }

    /// Sets whether a single error opens the breaker.
    pub fn set_opens_on_error(&mut self, opens_on_error: bool) {
        self.opens_on_error = opens_on_error;
    }

    /// Counts within the window that ends `now`.
    pub fn recent_at(&self, now: Moment) -> Counts {
        self.window.sum_at(now)
    }

    /// Whether other entries recently got complete answers and saw no lost request that this
    /// entry did not see.
    pub fn serves_others(&self, now: Moment) -> bool {
        let (all, own) = (self.window.sum_at(now), self.own.sum_at(now));
        all.answered > own.answered && all.lost() == own.lost()
    }

    /// Records what callers of this entry received.
    pub fn record_own(&mut self, now: Moment, counts: &Counts) {
        let cleared = u32::from(self.is_cleared_by(counts));
        self.own.expire(now);
        self.own.add(now, counts);
        self.add(now, &Counts { cleared, ..*counts }, counts.unreached);
    }

    /// Records what callers of other entries received. That one of them can't reach the upstream
    /// says nothing about the others' paths.
    pub fn record(&mut self, now: Moment, counts: &Counts) {
        let sum = self.window.sum_at(now);
        let is_gone = sum.missed + counts.missed >= MISSED_MIN && sum.answered == 0;
        self.add(now, counts, if is_gone { counts.unreached } else { 0 });
    }

    /// Records outcomes; `unreached` connections are evidence that trials fail.
    fn add(&mut self, now: Moment, counts: &Counts, unreached: u32) {
        if self.overdue_wait.is_some() && counts.cleared > 0 {
            self.close();
            self.is_cleared = true;
        }
        let mut counts = counts.without_answered_overdue();
        if counts.passed > 0 {
            self.sound_at = self.sound_at.max(Some(counts.started_at(now)));
        }
        // A request that hung from before a successful trial ends long after it.
        if counts.hung > 0 && self.sound_at.is_some_and(|at| counts.fault_at(now) <= at) {
            counts = counts.without_hung();
        }
        let counts = &counts;
        self.window.expire(now);
        self.window.add(now, counts);
        let fault_at = counts.fault_at(now);
        if counts.broken + counts.hung + counts.unreached > 0 {
            self.broken_at = now;
        }
        match self.state {
            State::Closed => {
                self.open_if_faulty(now, counts);
                if self.opens_on_error && counts.failed > 0 && self.state == State::Closed {
                    self.open(now, now, Cause::Failed, SINGLE_ERROR_PAUSE);
                    self.has_single_error = true;
                }
            }
            State::Open { .. }
                if self.has_single_error && counts.losses() + counts.unreached > 0 =>
            {
                self.has_single_error = false;
                self.failed_at = self.failed_at.max(fault_at);
                self.state = State::Open { until: now + OPEN_PAUSE };
            }
            State::Open { until } if counts.broken + counts.hung > 0 => {
                // Requests that were in flight when the breaker opened end now; they show that
                // the fault lasts.
                self.confirm_fault(counts);
                self.failed_at = self.failed_at.max(fault_at);
                self.state = State::Open { until: until.max(fault_at + OPEN_PAUSE) };
            }
            State::Open { .. } => {}
            State::HalfOpen { since, .. } if counts.losses() + unreached > 0 => {
                self.confirm_fault(counts);
                if fault_at <= self.failed_at {
                    return;
                }
                self.failed_at = fault_at;
                // A hung request from before the trials is not a failed one. Counted as one, each
                // caller that gave up delayed the next trial.
                if fault_at >= since {
                    self.cause = Cause::from_counts(counts);
                    self.overdue_wait = None;
                    self.has_single_error = false;
                    self.state = State::Open { until: now + FAILED_TRIAL_PAUSE };
                }
            }
            State::HalfOpen { since, passed } => {
                // Only trials count: answers to requests sent before the fault began are still
                // arriving.
                if passed == 0 && counts.passed > 0 {
                    self.passed_at = now;
                }
                self.count_passed(since, passed + counts.passed);
            }
        }
    }

    /// Drops old counts, and starts trials once the pause is over.
    pub fn tick(&mut self, now: Moment) {
        self.own.expire(now);
        self.window.expire(now);
        match self.state {
            State::Open { until } if now >= until => {
                self.state = State::HalfOpen { since: now, passed: 0 };
            }
            _ => {}
        }
    }

    /// When [`Self::tick`] is next needed.
    pub fn wake(&self) -> Option<Moment> {
        match self.state {
            State::Closed | State::HalfOpen { .. } => None,
            State::Open { until } => Some(until),
        }
    }

    fn open_if_faulty(&mut self, now: Moment, counts: &Counts) {
        let sum = self.window.sum();
        let is_failing = f64::from(sum.failed) >= FAILED_SHARE_MIN * f64::from(sum.ended());
        let recent = self.window.sum_since(now.saturating_sub(LATE_WINDOW));
        let is_faulty = counts.broken > 0
            || self.is_hanging(counts, &sum)
            || (sum.failed >= FAILED_MIN && is_failing)
            || (recent.late >= LATE_MIN && recent.answered == 0)
            || self.own.sum().unreached >= OWN_UNREACHED_MIN
            || (sum.unreached >= UNREACHED_MIN && sum.answered == 0);
        if is_faulty {
            self.open(now, counts.fault_at(now), Cause::from_counts(counts), OPEN_PAUSE);
            self.overdue_wait = sum.overdue_wait().and(counts.overdue_wait());
        }
    }

    /// Marks the fault as confirmed if the counts hold more than requests that are still pending.
    fn confirm_fault(&mut self, counts: &Counts) {
        if counts.overdue_wait().is_none() && self.overdue_wait.take().is_some() {
            self.cause = Cause::from_counts(counts);
        }
    }

    fn open(&mut self, now: Moment, failed_at: Moment, cause: Cause, pause: Duration) {
        self.cause = cause;
        self.is_cleared = false;
        self.failed_at = failed_at;
        self.opened_at = failed_at;
        self.state = State::Open { until: now + pause };
    }

    fn is_hanging(&self, counts: &Counts, sum: &Counts) -> bool {
        if !self.is_overloaded {
            return counts.hung > 0;
        }
        sum.hung >= HUNG_MIN && f64::from(sum.hung) >= HUNG_SHARE_MIN * f64::from(sum.ended())
    }

    fn count_passed(&mut self, since: Moment, passed: u32) {
        self.state = State::HalfOpen { since, passed };
        if passed >= TRIALS_TO_CLOSE {
            self.close();
        }
    }

    fn close(&mut self) {
        self.state = State::Closed;
        self.has_single_error = false;
        self.overdue_wait = None;
        self.own.clear();
        self.window.clear();
    }
}
