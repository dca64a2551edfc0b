//! The circuit breakers of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Cause;
use super::Circuit;
use super::Counts;
use super::ErrorHistory;
use super::Losses;
use super::OutageHistory;
use super::State;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Interval between idempotent trials of one upstream over all entries. With a third of the
/// upstreams out, they take a third of the idempotent requests, a seventh to a quarter of all.
const IDEMPOTENT_TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between trials over all entries after a successful one: the fault is probably over.
const TRIAL_INTERVAL_AFTER_PASS: Duration = Duration::from_millis(150);
/// Likelihood that an outage is over from which on idempotent requests make trials: they can be
/// retried, and an upstream that stays out leaves its load to the others.
const IDEMPOTENT_LIKELIHOOD: f64 = 0.15;
/// Upper bound of the delay of idempotent trials: an outage may end sooner than recent ones.
const IDEMPOTENT_DELAY_MAX: Duration = Duration::from_millis(1500);
/// Likelihood that an outage is over from which on any request may make trials. A service may
/// have no idempotent ones; closing its breakers after a fixed 4.5 s to 18 s instead kept out a
/// third of the upstreams that were sound.
const TRIAL_LIKELIHOOD: f64 = 0.5;
/// Time from the last failure until any request may make trials, where too few outages are known,
/// and its bounds.
const TRIAL_DELAY_DEFAULT: Duration = Duration::from_secs(3);
const TRIAL_DELAY_MIN: Duration = Duration::from_secs(1);
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(8);
/// Upper bound of that time while many requests are lost: operators count an upstream as sound 2
/// s after its last failure, and this bound gets it a request within another 2 s.
const HIGH_LOSS_DELAY_MAX: Duration = Duration::from_millis(2800);
/// Interval between trials of one upstream by any requests over all entries. A hang shows only
/// after a second: four trials a second lost four requests before all entries knew.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between trials by any requests over all entries when one is overdue. Only for broken
/// answers, which show at once, so that other entries cancel their trials in time.
const TRIAL_INTERVAL_IF_OVERDUE: Duration = Duration::from_millis(300);
/// Time after [`HIGH_LOSS_DELAY_MAX`] from which on a trial is overdue.
const TRIAL_OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// How long a successful idempotent trial shows that the service has idempotent requests.
const IDEMPOTENT_VALIDITY: Duration = Duration::from_secs(5);
/// Factor over the mean latency of the median upstream above which an upstream is slow. Sound
/// ones differ by less, even when some are busy.
const SLOW_FACTOR: f64 = 2.2;
/// Answers within the window that a mean latency needs.
const LATENCY_SAMPLES_MIN: u32 = 4;
/// Share of its usual load that a slow upstream gets: enough to detect when it is fast again.
const SLOW_WEIGHT: f64 = 0.15;

/// Share of hung requests at the other upstreams above which the service counts as overloaded.
/// Gray failures that hang half the requests of a tenth of them stay below: once found, these get
/// few.
const OVERLOAD_HUNG_SHARE: f64 = 0.06;

/// Longest time from an error to the next answer of which it tells something.
const ERROR_SERIES_GAP_MAX: Duration = Duration::from_secs(2);

/// A trial of an upstream that one request may make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trial {
    /// Whether any request may make it, and not only an idempotent one.
    pub allows_any: bool,
    /// Sequence number among the trials of this entry; each trial is made once.
    pub number: u64,
    /// Upstream to send the request to.
    pub upstream: UpstreamId,
}

/// The circuit breakers of one service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Group {
    members: BTreeMap<UpstreamId, Member>,
    entries: usize,
    errors: ErrorHistory,
    floor: f64,
    /// When a trial by an idempotent request last succeeded.
    idempotent_at: Option<Moment>,
    outages: OutageHistory,
    losses: Losses,
    random: ChaCha8Rng,
    trials: u64,
}

#[derive(Clone, Debug)]
struct Member {
    /// Whether any request may make its trials, and not only idempotent ones.
    allows_any: bool,
    circuit: Circuit,
    /// Time of the last answer if it was an error that followed no other.
    error_at: Option<Moment>,
    /// Whether a trial by any request is overdue.
    is_overdue: bool,
    /// When any request may make its trials, given losses and idempotent trials of the service.
    any_due: Moment,
    /// When any request may make its trials, given past outages alone.
    any_from: Moment,
    /// Successful trials when the next one was scheduled.
    passed: u32,
    slots: u32,
    trial_at: Moment,
    trial: Option<u64>,
    /// When idempotent requests may make its trials.
    trials_from: Moment,
    /// When an outcome of a request to it was last recorded, of any entry.
    used_at: Option<Moment>,
}

/// Upstreams of a service to which no entry is known to have sent a request for some time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Idle {
    /// Those in use.
    pub closed: Vec<UpstreamId>,
    /// Those kept as a last resort.
    pub last: Vec<UpstreamId>,
    /// Those that get only trials.
    pub out: Vec<UpstreamId>,
}

impl Idle {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.closed.is_empty() && self.last.is_empty() && self.out.is_empty()
    }
}

impl Group {
    /// Creates a group without upstreams; `floor` is the share of its slots that stay in use.
    pub fn new(floor: f64, random: ChaCha8Rng) -> Self {
        Self {
            members: BTreeMap::new(),
            entries: 1,
            errors: ErrorHistory::default(),
            floor,
            idempotent_at: None,
            outages: OutageHistory::default(),
            losses: Losses::default(),
            random,
            trials: 0,
        }
    }

    /// Sets the share of the slots that stay in use.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Sets how many entries share the trials.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Adds an upstream, or updates its slots.
    pub fn join(&mut self, upstream: UpstreamId, slots: u32) {
        let member = Member {
            allows_any: false,
            circuit: Circuit::default(),
            error_at: None,
            is_overdue: false,
            any_due: Moment::ZERO,
            any_from: Moment::ZERO,
            passed: 0,
            slots,
            trial_at: Moment::ZERO,
            trial: None,
            trials_from: Moment::ZERO,
            used_at: None,
        };
        self.members.entry(upstream).or_insert(member).slots = slots;
    }

    /// Removes an upstream.
    pub fn leave(&mut self, upstream: &UpstreamId) {
        self.members.remove(upstream);
    }

    /// Records what callers of this entry received; returns whether the breaker's state changed.
    pub fn record_own(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) -> bool {
        self.detect_overload(now, upstream, counts);
        self.record_idempotent_trial(now, upstream, counts);
        self.record_error_series(now, upstream, counts);
        self.update(now, upstream, counts, |circuit| circuit.record_own(now, counts))
    }

    /// Whether the breaker closed because its overdue request was answered; others must be told.
    pub fn was_cleared(&self, upstream: &UpstreamId) -> bool {
        self.members.get(upstream).is_some_and(|member| member.circuit.was_cleared())
    }

    /// Records what callers of other entries received; returns whether the state changed.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) -> bool {
        self.detect_overload(now, upstream, counts);
        self.record_idempotent_trial(now, upstream, counts);
        self.record_error_series(now, upstream, counts);
        self.update(now, upstream, counts, |circuit| circuit.record(now, counts))
    }

    /// Whether other entries recently got complete answers, and lost no more than this one saw.
    pub fn serves_others(&self, now: Moment, upstream: &UpstreamId) -> bool {
        self.members.get(upstream).is_some_and(|member| member.circuit.serves_others(now))
    }

    /// Detects overload of the whole service, before hung requests of one upstream are judged.
    fn detect_overload(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        if counts.hung == 0 {
            return;
        }
        let mut sum = Counts::default();
        let others = self.members.iter().filter(|(id, _)| *id != upstream);
        others.for_each(|(_, member)| sum.add(&member.circuit.recent_at(now)));
        let is_overloaded = f64::from(sum.hung) > OVERLOAD_HUNG_SHARE * f64::from(sum.ended());
        if let Some(member) = self.members.get_mut(upstream) {
            member.circuit.set_overloaded(is_overloaded);
        }
    }

    /// Records that idempotent requests make trials in this service, so that others need not.
    fn record_idempotent_trial(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        if counts.spared > 0 && self.members.contains_key(upstream) {
            self.idempotent_at = Some(now);
        }
    }

    /// Whether a single error of an upstream is a sign of a fault in this service.
    pub fn has_recurring_errors(&self) -> bool {
        self.errors.is_recurring()
    }

    /// Records whether an error was followed by another one.
    fn record_error_series(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        let Some(member) = self.members.get_mut(upstream) else { return };
        if counts.ended() == 0 {
            return;
        }
        let is_error = counts.failed > counts.answered;
        match member.error_at.take() {
            Some(at) if now < at + ERROR_SERIES_GAP_MAX => self.errors.add(is_error),
            _ if counts.failed > 1 && is_error => self.errors.add(true),
            _ if counts.failed > 0 && member.circuit.state() == State::Closed => {
                member.error_at = Some(now);
            }
            _ => {}
        }
    }

    fn update(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        counts: &Counts,
        record: impl FnOnce(&mut Circuit),
    ) -> bool {
        let Some(member) = self.members.get_mut(upstream) else { return false };
        if counts.ended() > 0 {
            member.used_at = Some(now);
        }
        let before = member.circuit.state();
        member.circuit.set_opens_on_error(self.errors.is_recurring());
        record(&mut member.circuit);
        let after = member.circuit.state();
        if after != before && matches!(after, State::Open { .. }) {
            member.trial = None;
        }
        if after != before && after == State::Closed && !member.circuit.was_cleared() {
            self.outages.add(member.circuit.outage_duration());
        }
        after != before
    }

    /// Advances all breakers and schedules trials; returns whether anything changed.
    pub fn tick(&mut self, now: Moment) -> bool {
        let mut changed = false;
        let has_idempotent = self.idempotent_at.is_some_and(|at| now < at + IDEMPOTENT_VALIDITY);
        self.losses.update(now, self.members.values().map(|member| member.circuit.recent()));
        for member in self.members.values_mut() {
            let before = member.circuit.state();
            member.circuit.tick(now);
            let after = member.circuit.state();
            changed |= after != before;
            let State::HalfOpen { passed, .. } = after else {
                member.allows_any = false;
                member.trial = None;
                member.trial_at = Moment::MAX;
                member.passed = 0;
                continue;
            };
            if !matches!(before, State::HalfOpen { .. }) {
                (member.trials_from, member.any_from) =
                    trial_starts(&self.outages, &member.circuit);
            }
            let failed_at = member.circuit.outage().1;
            let is_high = self.losses.is_high(now);
            let delay_max = if is_high { HIGH_LOSS_DELAY_MAX } else { TRIAL_DELAY_MAX };
            let is_broken = member.circuit.cause() == Cause::Broken;
            let is_overdue = is_high
                && is_broken
                && now >= failed_at + HIGH_LOSS_DELAY_MAX + TRIAL_OVERDUE_AFTER;
            let interval = match member.allows_any {
                _ if passed > 0 => TRIAL_INTERVAL_AFTER_PASS,
                true if is_overdue => TRIAL_INTERVAL_IF_OVERDUE,
                true => TRIAL_INTERVAL,
                false => IDEMPOTENT_TRIAL_INTERVAL,
            };
            let entry_interval = interval * self.entries as u32;
            if passed != member.passed || is_overdue != member.is_overdue {
                member.passed = passed;
                member.is_overdue = is_overdue;
                member.trial_at = Moment::MAX;
            }
            let due = if has_idempotent { failed_at + TRIAL_DELAY_MAX } else { member.any_from };
            member.any_due = due.min(failed_at + delay_max);
            if !member.allows_any && now >= member.any_due {
                // Many entries hold a trial that no request has made; new ones come one by one.
                member.allows_any = true;
                member.trial = None;
                member.trial_at = Moment::MAX;
                changed = true;
            }
            if member.trial_at == Moment::MAX && now >= member.trials_from {
                // Each entry waits for a random part of its interval, so that all entries
                // together keep the intended rate.
                member.trial_at = now + entry_interval.mul_f64(self.random.random_range(0.0..1.0));
            }
            if member.trial_at <= now {
                self.trials += 1;
                member.trial = Some(self.trials);
                member.trial_at = now + entry_interval;
                changed = true;
            }
        }
        changed
    }

    /// When [`Self::tick`] is next needed.
    pub fn wake(&self) -> Option<Moment> {
        let due = |member: &Member| match member.circuit.state() {
            State::HalfOpen { .. } => {
                let is_set = member.trial_at != Moment::MAX;
                let next = if is_set { member.trial_at } else { member.trials_from };
                Some(if member.allows_any { next } else { next.min(member.any_due) })
            }
            _ => member.circuit.wake(),
        };
        self.members.values().filter_map(due).min()
    }

    /// Trials that are due at this entry.
    pub fn trials(&self) -> Vec<Trial> {
        let due = |(upstream, member): (&UpstreamId, &Member)| {
            let allows_any = member.allows_any;
            member.trial.map(|number| Trial { allows_any, number, upstream: upstream.clone() })
        };
        self.members.iter().filter_map(due).collect()
    }

    /// Share of its usual load that each upstream gets, where that is less than all.
    pub fn weights(&self) -> BTreeMap<UpstreamId, f64> {
        let mut weights = self.slow_weights();
        weights.extend(self.ejected().into_iter().map(|id| (id.clone(), 0.0)));
        weights
    }

    /// Upstreams whose breaker is not closed but that stay in use as a last resort: those with a
    /// single error, and those kept by the floor, which broke an answer least recently.
    pub fn suspects(&self) -> BTreeSet<UpstreamId> {
        let ejected = self.ejected();
        self.unclosed().map(|(id, _)| id).filter(|id| !ejected.contains(id)).cloned().collect()
    }

    /// Upstreams of which no outcome was recorded for `span`.
    pub fn idle(&self, now: Moment, span: Duration) -> Idle {
        let ejected = self.ejected();
        let mut idle = Idle::default();
        let is_idle = |member: &Member| member.used_at.is_none_or(|at| now >= at + span);
        for (id, member) in self.members.iter().filter(|(_, member)| is_idle(member)) {
            let list = match member.circuit.state() {
                State::Closed => &mut idle.closed,
                _ if ejected.contains(id) => &mut idle.out,
                _ => &mut idle.last,
            };
            list.push(id.clone());
        }
        idle
    }

    fn ejected(&self) -> BTreeSet<&UpstreamId> {
        let all: u64 = self.members.values().map(|member| u64::from(member.slots)).sum();
        let slots_max = all - (all as f64 * self.floor).ceil() as u64;
        let is_certain = |(_, member): &(&UpstreamId, &Member)| !member.circuit.has_single_error();
        let mut open: Vec<(&UpstreamId, &Member)> = self.unclosed().filter(is_certain).collect();
        open.sort_by_key(|(_, member)| std::cmp::Reverse(member.circuit.broken_at()));
        let mut slots = 0;
        let mut fits = |(_, member): &(&UpstreamId, &Member)| {
            slots += u64::from(member.slots);
            slots <= slots_max
        };
        open.into_iter().take_while(|one| fits(one)).map(|(id, _)| id).collect()
    }

    fn unclosed(&self) -> impl Iterator<Item = (&UpstreamId, &Member)> {
        self.members.iter().filter(|(_, member)| member.circuit.state() != State::Closed)
    }

    /// State of an upstream's breaker.
    pub fn state(&self, upstream: &UpstreamId) -> State {
        self.members.get(upstream).map_or(State::Closed, |member| member.circuit.state())
    }

    /// Why an upstream's breaker last opened; `None` for an unknown upstream.
    pub fn cause(&self, upstream: &UpstreamId) -> Option<Cause> {
        self.members.get(upstream).map(|member| member.circuit.cause())
    }

    /// Mean latency of the median upstream.
    pub fn median_latency(&self) -> Option<Duration> {
        let median = median(self.means().into_iter().map(|(_, mean)| mean).collect())?;
        Some(Duration::from_secs_f64(median / 1000.0))
    }

    /// Mean latency in milliseconds of each upstream with enough answers.
    fn means(&self) -> Vec<(&UpstreamId, f64)> {
        let mean = |member: &Member| {
            let recent = member.circuit.recent();
            let is_known = recent.answered >= LATENCY_SAMPLES_MIN;
            is_known.then(|| recent.millis as f64 / f64::from(recent.answered))
        };
        self.members.iter().filter_map(|(id, member)| Some((id, mean(member)?))).collect()
    }

    fn slow_weights(&self) -> BTreeMap<UpstreamId, f64> {
        let means = self.means();
        let Some(median) = median(means.iter().map(|(_, mean)| *mean).collect()) else {
            return BTreeMap::new();
        };
        let slow = means.into_iter().filter(|(_, mean)| *mean > SLOW_FACTOR * median);
        slow.map(|(id, _)| (id.clone(), SLOW_WEIGHT)).collect()
    }
}

/// When idempotent requests, and when any requests, may make trials of an upstream.
fn trial_starts(outages: &OutageHistory, circuit: &Circuit) -> (Moment, Moment) {
    let (opened_at, failed_at) = circuit.outage();
    let lasted = failed_at.saturating_sub(opened_at);
    let over_at = |likelihood| outages.over_at(lasted, likelihood).map(|age| opened_at + age);
    let idempotent =
        over_at(IDEMPOTENT_LIKELIHOOD).unwrap_or(failed_at).min(failed_at + IDEMPOTENT_DELAY_MAX);
    let any = over_at(TRIAL_LIKELIHOOD).unwrap_or(failed_at + TRIAL_DELAY_DEFAULT);
    (idempotent, any.clamp(failed_at + TRIAL_DELAY_MIN, failed_at + TRIAL_DELAY_MAX))
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
