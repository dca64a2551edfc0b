//! The circuit breaker of one upstream in its service, with the trials that this entry makes of it.

use std::time::Duration;

use super::Cause;
use super::Circuit;
use super::Counts;
use super::OutageHistory;
use super::State;
use crate::balance::Duty;
use crate::balance::Rank;
use crate::clock::Moment;

/// Likelihood that an outage is over from which on idempotent requests make trials: they can be
/// retried, and an upstream that stays out leaves its load to the others.
const IDEMPOTENT_LIKELIHOOD: f64 = 0.15;
/// Upper bound of the delay of idempotent trials: an outage may end sooner than recent ones.
const IDEMPOTENT_DELAY_MAX: Duration = Duration::from_millis(1500);
/// Delay of an idempotent trial after the pause that follows a failed one. With a third of the
/// upstreams out, they take a third of the idempotent requests, a seventh to a quarter of all.
const IDEMPOTENT_DELAY_MIN: Duration = Duration::from_millis(150);
/// Likelihood that an outage is over from which on any request may make trials.
const TRIAL_LIKELIHOOD: f64 = 0.5;
/// Bounds of the time from the last failure until any request may make a trial. Operators count an
/// upstream as sound 2 s after its last failure, and as idle if it had no request since. Each trial of
/// a faulty one loses a request, so not all are tried by then.
const TRIAL_DELAY_MIN: Duration = Duration::from_secs(1);
pub(super) const TRIAL_DELAY_MAX: Duration = Duration::from_secs(3);
/// The upper bound where so few are out that all of them may be idle.
pub(super) const TRIAL_DELAY_MAX_FEW: Duration = Duration::from_secs(5);
/// The upper bound where most are out, or each one counts.
pub(super) const TRIAL_DELAY_MAX_TIGHT: Duration = Duration::from_millis(2100);
/// Longest time from a successful trial to the next one, while requests that may be lost are not yet
/// used for trials.
const NEXT_TRIAL_DELAY_MAX: Duration = Duration::from_millis(400);
/// Time after which the next entry in the order makes a trial. Others hear within it that one began.
const TURN_DELAY: Duration = Duration::from_millis(250);
/// Turns after which all entries may make a trial: the first ones have no requests.
const MAX_TURNS: u32 = 4;
/// Known requests of an upstream within the window of outcomes from which on it gets enough of all
/// entries together.
const BUSY_REQUESTS: u32 = 5;
/// Time without an outcome after which the second entry sees to it that an upstream gets requests, and
/// after which the ones behind it do. Outcomes of other entries arrive up to 1.5 s late.
const QUIET_DELAY: Duration = Duration::from_millis(800);
const LONG_QUIET_DELAY: Duration = Duration::from_millis(1200);
/// How long a connection that another entry could not open shows that those who usually send to an
/// upstream may have lost the path.
const UNREACHED_AGE: Duration = Duration::from_secs(3);
/// Entries that see to it that an upstream gets requests. If all did, they would fill it.
const DUTY_PLACES: u32 = 4;
/// How long an entry that opened no connection for a trial leaves trials to the others, whose paths
/// may be there.
const MISSED_DELAY: Duration = Duration::from_secs(2);
/// How long a trial of which no outcome is known holds back others. One that hangs is known as
/// overdue by then; of one whose entry was killed nothing follows.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The circuit breaker of one upstream in its service, with the trials that this entry makes of it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// Whether any request may make the trial that is due, and not only an idempotent one.
    pub(super) allows_any: bool,
    /// When any request may make trials, at the entry whose turn is first.
    pub(super) any_from: Moment,
    /// When a trial began of which no outcome is known.
    pub(super) begun_at: Option<Moment>,
    pub(super) circuit: Circuit,
    /// Longest time from the last failure until any request may make a trial.
    pub(super) delay_max: Duration,
    /// Time of the last answer if it was an error that followed no other.
    pub(super) error_at: Option<Moment>,
    /// When idempotent requests may make trials, at the entry whose turn is first.
    pub(super) idempotent_from: Moment,
    /// When this entry last opened no connection for a trial.
    pub(super) missed_at: Option<Moment>,
    pub(super) rank: Rank,
    /// Failed trials since the breaker opened. Each is followed by that of another entry, as the
    /// path of one may be at fault.
    pub(super) round: u32,
    pub(super) slots: u32,
    /// The trial that is due at this entry.
    pub(super) trial: Option<u64>,
    /// When another entry last opened no connection to it.
    pub(super) unreached_at: Option<Moment>,
    /// When an outcome of a request to it was last recorded, of any entry.
    pub(super) used_at: Option<Moment>,
}

impl Member {
    /// Creates the member for an upstream that is in use.
    pub(super) fn new(slots: u32) -> Self {
        Self {
            allows_any: false,
            any_from: Moment::MAX,
            begun_at: None,
            circuit: Circuit::default(),
            delay_max: TRIAL_DELAY_MAX,
            error_at: None,
            idempotent_from: Moment::MAX,
            missed_at: None,
            rank: Rank::ALONE,
            round: 0,
            slots,
            trial: None,
            unreached_at: None,
            used_at: None,
        }
    }

    /// Notes what outcomes tell of trials.
    pub(super) fn note_trials(
        &mut self,
        now: Moment,
        counts: &Counts,
        before: State,
        after: State,
    ) {
        if counts.begun > 0 {
            let is_lost = self.begun_at.is_some_and(|at| now >= at + TRIAL_TIMEOUT);
            self.round += u32::from(is_lost);
            self.begun_at = Some(now);
            self.trial = None;
        }
        if counts.ends_trial() {
            self.begun_at = None;
            self.trial = None;
        }
        match (before, after) {
            (State::Closed, State::Open { .. }) => self.round = 0,
            (State::HalfOpen { .. }, State::Open { .. }) => self.round += 1,
            _ => (),
        }
        if !matches!(after, State::HalfOpen { .. }) {
            self.trial = None;
            self.allows_any = false;
        }
    }

    /// Sets when trials may be made of an upstream whose pause is over.
    pub(super) fn start_trials(&mut self, now: Moment, outages: &OutageHistory) {
        let (opened_at, failed_at) = self.circuit.outage();
        let lasted = failed_at.saturating_sub(opened_at);
        let over_at = |likelihood| outages.over_at(lasted, likelihood).map(|age| opened_at + age);
        let idempotent = over_at(IDEMPOTENT_LIKELIHOOD).unwrap_or(failed_at);
        let any = match self.circuit.cause() {
            // Nothing is lost with a connection that does not open, and the path of one entry may be
            // all that is cut.
            Cause::Unreached => failed_at,
            _ => over_at(TRIAL_LIKELIHOOD).unwrap_or(Moment::MAX),
        };
        self.idempotent_from =
            idempotent.min(failed_at + IDEMPOTENT_DELAY_MAX).max(now + IDEMPOTENT_DELAY_MIN);
        self.any_from = any.max(failed_at + TRIAL_DELAY_MIN);
    }

    /// When idempotent requests of this entry, and when any of them, may make the next trial.
    pub(super) fn due(&self) -> (Moment, Moment) {
        let State::HalfOpen { passed, .. } = self.circuit.state() else {
            return (Moment::MAX, Moment::MAX);
        };
        let passed_at = self.circuit.passed_at();
        let (_, failed_at) = self.circuit.outage();
        let any_from = self.any_from.min(failed_at + self.delay_max);
        let (idempotent, any) = match passed {
            0 => (self.idempotent_from, any_from),
            _ => (passed_at, any_from.clamp(passed_at, passed_at + NEXT_TRIAL_DELAY_MAX)),
        };
        // The entry whose trial has no outcome yet had its turn, and may be killed.
        let round = self.round + u32::from(self.begun_at.is_some());
        let delay = TURN_DELAY * self.rank.turn(round).min(MAX_TURNS);
        let begun_until = self.begun_at.map_or(Moment::ZERO, |at| at + TRIAL_TIMEOUT);
        let missed_until = self.missed_at.map_or(Moment::ZERO, |at| at + MISSED_DELAY);
        let held_until = begun_until.max(missed_until);
        (idempotent.max(held_until) + delay, any.max(held_until) + delay)
    }

    /// Duty of this entry to send it requests in time while it is in use.
    pub(super) fn duty(&self, now: Moment) -> Option<Duty> {
        let is_quiet = |delay| self.used_at.is_none_or(|at| now >= at + delay);
        let is_unreached = self.unreached_at.is_some_and(|at| now < at + UNREACHED_AGE);
        let is_busy = self.circuit.recent().ended() >= BUSY_REQUESTS;
        let is_needed = match self.rank.place().filter(|place| *place < DUTY_PLACES)? {
            0 => return Some(Duty::First),
            1 => !is_busy || is_unreached || is_quiet(QUIET_DELAY),
            _ => is_unreached || is_quiet(LONG_QUIET_DELAY),
        };
        is_needed.then_some(Duty::Second)
    }

    /// Whether a trial is due at this entry, and if so whether any request may make it.
    pub(super) fn allowed(&self, now: Moment) -> Option<bool> {
        let (idempotent, any) = self.due();
        (now >= idempotent.min(any)).then_some(now >= any)
    }

    /// When a trial becomes due, or any request may make it.
    pub(super) fn trial_wake(&self) -> Option<Moment> {
        let (idempotent, any) = self.due();
        match (self.trial, self.allows_any) {
            (Some(_), true) => None,
            (Some(_), false) => Some(any),
            (None, _) => Some(idempotent.min(any)),
        }
    }
}
