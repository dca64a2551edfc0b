use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Attempt;
use super::Budget;
use super::Decide;
use super::Decision;
use super::Hedge;
use super::Latency;
use super::Limits;
use crate::clock::Moment;

/// Longest wait before the second try; doubles with each further one. Long
/// against the 1 ms of a new connection, short against any deadline.
const BACKOFF: Duration = Duration::from_millis(10);
/// Most doublings.
const DOUBLINGS: u32 = 4;
/// Most tries of one request: one that meets three bad upstreams in a row is
/// unlikely to be the upstreams' fault, and the budget belongs to everyone.
const TRIES: u32 = 4;

/// Further tries that must be left for a request to be risked on an upstream that was at fault:
/// nine in ten such requests are sent again, and one that can't be is lost. With a third of
/// 508 upstreams at fault all lookups were risked, and one in fourteen was lost so.
const SPARE: f64 = 2.0;

/// Decides about further tries at one service in one entry.
#[derive(Clone, Debug)]
pub struct Policy {
    budget: Budget,
    free_connects: bool,
    hedge: Hedge,
    latency: Latency,
    rng: ChaCha8Rng,
}

impl Policy {
    /// Makes a policy; `rng` jitters the waits.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            budget: Budget::default(),
            free_connects: false,
            hedge: Hedge::default(),
            latency: Latency::default(),
            rng,
        }
    }

    /// Goes by these limits from now on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.free_connects = limits.free_connects;
        self.budget.set(limits);
    }

    /// Moves on with time, before anything else is asked.
    pub fn advance(&mut self, now: Moment) {
        self.budget.advance(now);
    }

    /// Notes the first try of a request.
    pub fn record_first(&mut self) {
        self.budget.first();
        self.hedge.first();
    }

    /// Decides what follows a try that went wrong.
    pub fn decide(&mut self, attempt: &Attempt) -> Decision {
        let stop = Decision::Stop { answer: attempt.answer() };
        let tried = attempt.tries >= TRIES || attempt.sends >= attempt.limit;
        if !attempt.is_safe() || tried {
            return stop;
        }
        let after = self.wait(attempt);
        // A try that can't end in time is load without an answer.
        let usual = self.latency.median().unwrap_or_default();
        let free = self.free_connects && !attempt.sent;
        if attempt.remaining <= after + usual || !(free || self.budget.take()) {
            return stop;
        }
        Decision::Again { after }
    }

    /// Whether a request may be risked on an upstream that was at fault.
    pub fn has_spare_retries(&self) -> bool {
        self.budget.left() >= SPARE
    }

    /// Notes that a whole answer took `time`, from the start of its try.
    pub fn record_latency(&mut self, time: Duration) {
        self.latency.note(time);
    }

    /// When, after the start of the first try, a second copy of an idempotent
    /// lookup may go out; `None` while hedges do not pay.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.hedge.is_on().then(|| self.latency.tail()).flatten()
    }

    /// Whether the second copy goes out now, with `remaining` time left. With
    /// `true` the budget has paid, and [`Self::record_hedge`] must follow.
    pub fn try_hedge(&mut self, remaining: Duration) -> bool {
        let usual = self.latency.median().unwrap_or_default();
        self.hedge.is_on() && remaining > usual && self.budget.take()
    }

    /// Notes whether the second copy answered first.
    pub fn record_hedge(&mut self, won: bool) {
        self.hedge.note(won);
    }

    /// Nothing before the second try of what was not run: it met one upstream
    /// that was full or gone, and another may be free. Else a random wait, so
    /// that requests that failed together don't return together.
    fn wait(&mut self, attempt: &Attempt) -> Duration {
        if attempt.tries <= 1 && attempt.is_not_run() {
            return Duration::ZERO;
        }
        let doublings = attempt.tries.saturating_sub(1).min(DOUBLINGS);
        let most = BACKOFF * 2_u32.pow(doublings);
        most.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

impl Decide for Policy {
    fn decide(&mut self, attempt: &Attempt) -> Decision {
        self.decide(attempt)
    }

    fn record_first(&mut self) {
        self.record_first();
    }
}
