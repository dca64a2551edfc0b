//! The circuit breaker of one upstream in its service, with the trials that this entry makes of it.

use std::time::Duration;

use super::Cause;
use super::Circuit;
use super::Counts;
use super::OutageHistory;
use super::State;
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
/// upstream as sound 2 s after its last failure, and the upper one leaves it another second until it
/// must have had a request.
const TRIAL_DELAY_MIN: Duration = Duration::from_secs(1);
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(3);
/// Longest time from a successful trial to the next one, while requests that may be lost are not yet
/// used for trials.
const NEXT_TRIAL_DELAY_MAX: Duration = Duration::from_secs(1);
/// Time after which the next entry in the order makes a trial. Others hear within it that one began.
const TURN_DELAY: Duration = Duration::from_millis(250);
/// Turns after which all entries may make a trial: the first ones have no requests.
const MAX_TURNS: u32 = 4;
/// Time without an outcome of an upstream in use after which the first entry in the order sends it a request,
/// and after which each other one does. Outcomes of other entries arrive up to a second late, and
/// operators want most sound upstreams in use within any 2 s.
const NEGLECT_DELAY: Duration = Duration::from_millis(1600);
const NEGLECT_TURN_DELAY: Duration = Duration::from_millis(150);
/// How long an entry that opened no connection for a trial leaves trials to the others, whose paths
/// may be there.
const MISSED_DELAY: Duration = Duration::from_secs(2);
/// How long a trial of which no outcome is known holds back others. One that hangs is known as
/// overdue by then; of one whose entry was killed nothing follows.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1200);

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
    /// When another entry opened no connection to it, if no outcome was recorded since.
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
            _ => over_at(TRIAL_LIKELIHOOD).unwrap_or(failed_at + TRIAL_DELAY_MAX),
        };
        self.idempotent_from =
            idempotent.min(failed_at + IDEMPOTENT_DELAY_MAX).max(now + IDEMPOTENT_DELAY_MIN);
        self.any_from = any.clamp(failed_at + TRIAL_DELAY_MIN, failed_at + TRIAL_DELAY_MAX);
    }

    /// When idempotent requests of this entry, and when any of them, may make the next trial.
    pub(super) fn due(&self) -> (Moment, Moment) {
        let State::HalfOpen { passed, .. } = self.circuit.state() else {
            return (Moment::MAX, Moment::MAX);
        };
        let passed_at = self.circuit.passed_at();
        let (idempotent, any) = match passed {
            0 => (self.idempotent_from, self.any_from),
            _ => (passed_at, self.any_from.clamp(passed_at, passed_at + NEXT_TRIAL_DELAY_MAX)),
        };
        let delay = TURN_DELAY * self.rank.turn(self.round).min(MAX_TURNS);
        let begun_until = self.begun_at.map_or(Moment::ZERO, |at| at + TRIAL_TIMEOUT);
        let missed_until = self.missed_at.map_or(Moment::ZERO, |at| at + MISSED_DELAY);
        let held_until = begun_until.max(missed_until);
        (idempotent.max(held_until) + delay, any.max(held_until) + delay)
    }

    /// Whether this entry is due to send a request to an upstream in use that has had none.
    pub(super) fn is_neglected(&self, now: Moment) -> bool {
        let delay = NEGLECT_TURN_DELAY * self.rank.turn(0).min(MAX_TURNS);
        let is_unused = self.used_at.is_none_or(|at| now >= at + NEGLECT_DELAY + delay);
        // Those that usually send it requests may be the ones that can't reach it.
        let is_unreached = self.unreached_at.is_some_and(|at| now >= at + delay);
        let is_closed = self.circuit.state() == State::Closed;
        is_closed && self.rank.is_listed() && (is_unused || is_unreached)
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
