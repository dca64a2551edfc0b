//! The breaker of one upstream.

use std::time::Duration;

use super::Tally;
use super::Window;
use crate::clock::Moment;

/// One broken answer takes an upstream out for this long: long enough for the next one, if
/// there is one, to be told by whoever had a request there. A sound upstream whose answer
/// was lost once is missed for no longer than one request takes.
const BRIEF: Duration = Duration::from_millis(600);
/// Two broken answers within the window take it out for this long before it is tried: faults
/// last for seconds, and each earlier trial would be lost.
const LONG: Duration = Duration::from_millis(2000);
/// A failed trial takes it out for this long.
const AGAIN: Duration = Duration::from_millis(1200);
/// An upstream that nobody has tried for so long takes work again: its service has no
/// idempotent requests to try it with.
const UNTRIED: Duration = Duration::from_millis(2500);
/// Broken answers within the window that make a fault of it.
const FAULT: u32 = 2;
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
/// Trials that have to go well: a fault that breaks most answers lets one in six through.
const TRIALS: u32 = 2;

/// Whether an upstream gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// As usual.
    Closed,
    /// None until then.
    Open {
        /// When it is tried, or takes work again.
        until: Moment,
        /// Whether trials have to go well first.
        tried: bool,
    },
    /// Trials only.
    Trial {
        /// Since when.
        since: Moment,
        /// Trials that went well.
        passed: u32,
    },
}

/// The breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    own: Window,
    state: State,
    window: Window,
}

impl Default for Circuit {
    fn default() -> Self {
        Self { own: Window::default(), state: State::Closed, window: Window::default() }
    }
}

impl Circuit {
    /// Whether the upstream gets work.
    pub fn state(&self) -> State {
        self.state
    }

    /// What the window holds.
    pub fn recent(&self) -> Tally {
        self.window.sum()
    }

    /// Takes what callers received here.
    pub fn note_own(&mut self, now: Moment, tally: &Tally) {
        self.own.roll(now);
        self.own.add(now, tally);
        self.note(now, tally);
    }

    /// Takes what callers received at other entries.
    pub fn note(&mut self, now: Moment, tally: &Tally) {
        self.window.roll(now);
        self.window.add(now, tally);
        match self.state {
            State::Closed => self.judge(now, tally),
            State::Open { until, tried } if tally.broken > 0 => {
                // Requests that were under way when it opened end now; they tell that the
                // fault goes on.
                let fault = self.window.sum().broken >= FAULT;
                let until = if fault { until.max(now + LONG) } else { until };
                self.state = State::Open { until, tried: tried || fault };
            }
            State::Open { .. } => {}
            State::Trial { .. } if tally.broken + tally.failed + tally.unreached > 0 => {
                self.state = State::Open { until: now + AGAIN, tried: true };
            }
            State::Trial { since, passed } => self.pass(since, passed + tally.answered),
        }
    }

    /// Moves on with time.
    pub fn tick(&mut self, now: Moment) {
        self.own.roll(now);
        self.window.roll(now);
        match self.state {
            State::Open { until, tried: true } if now >= until => {
                self.state = State::Trial { since: now, passed: 0 };
            }
            State::Open { until, tried: false } if now >= until => self.state = State::Closed,
            State::Trial { since, .. } if now >= since + UNTRIED => self.close(),
            _ => {}
        }
    }

    /// When it wants to be told the time.
    pub fn wake(&self) -> Option<Moment> {
        match self.state {
            State::Closed => None,
            State::Open { until, .. } => Some(until),
            State::Trial { since, .. } => Some(since + UNTRIED),
        }
    }

    fn judge(&mut self, now: Moment, tally: &Tally) {
        let sum = self.window.sum();
        let failing = f64::from(sum.failed) >= FAILING * f64::from(sum.ended());
        let fault = sum.broken >= FAULT
            || (sum.failed >= FAILURES && failing)
            || self.own.sum().unreached >= UNREACHED
            || (sum.unreached >= LOST && sum.answered == 0);
        if fault {
            self.state = State::Open { until: now + LONG, tried: true };
        } else if tally.broken > 0 {
            self.state = State::Open { until: now + BRIEF, tried: false };
        }
    }

    fn pass(&mut self, since: Moment, passed: u32) {
        self.state = State::Trial { since, passed };
        if passed >= TRIALS {
            self.close();
        }
    }

    fn close(&mut self) {
        self.state = State::Closed;
        self.own.clear();
        self.window.clear();
    }
}
