//! The circuit breakers of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Cause;
use super::Circuit;
use super::Counts;
use super::ErrorHistory;
use super::OutageHistory;
use super::State;
use super::member::Member;
use super::member::TRIAL_DELAY_MAX;
use super::member::TRIAL_DELAY_MAX_FEW;
use super::member::TRIAL_DELAY_MAX_TIGHT;
use crate::balance::Duty;
use crate::balance::Rank;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Share of the upstreams that may be out and idle, as operators want seven in ten sound ones in use,
/// and how many of these may be others that get no request by chance.
const IDLE_SHARE_MAX: f64 = 0.3;
const IDLE_BY_CHANCE: f64 = 3.0;
/// Share of the upstreams above which most are out.
const MOST: f64 = 0.5;
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
    errors: ErrorHistory,
    floor: f64,
    outages: OutageHistory,
    trials: u64,
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
    pub fn new(floor: f64) -> Self {
        Self {
            members: BTreeMap::new(),
            errors: ErrorHistory::default(),
            floor,
            outages: OutageHistory::default(),
            trials: 0,
        }
    }

    /// Sets the share of the slots that stay in use.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Adds an upstream, or updates its slots.
    pub fn join(&mut self, upstream: UpstreamId, slots: u32) {
        let member = Member::new(slots);
        self.members.entry(upstream).or_insert(member).slots = slots;
    }

    /// Sets the rank of this entry among those that make trials of an upstream.
    pub fn set_rank(&mut self, upstream: &UpstreamId, rank: Rank) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.rank = rank;
        }
    }

    /// Removes an upstream.
    pub fn leave(&mut self, upstream: &UpstreamId) {
        self.members.remove(upstream);
    }

    /// Records what callers of this entry received; returns whether the breaker's state changed.
    pub fn record_own(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) -> bool {
        self.detect_overload(now, upstream, counts);
        self.record_error_series(now, upstream, counts);
        if let Some(member) = self.members.get_mut(upstream).filter(|_| counts.missed > 0) {
            member.missed_at = Some(now);
        }
        self.update(now, upstream, counts, |circuit| circuit.record_own(now, counts))
    }

    /// Whether the breaker closed because its overdue request was answered; others must be told.
    pub fn was_cleared(&self, upstream: &UpstreamId) -> bool {
        self.members.get(upstream).is_some_and(|member| member.circuit.was_cleared())
    }

    /// Records what callers of other entries received; returns whether the state changed.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) -> bool {
        self.detect_overload(now, upstream, counts);
        self.record_error_series(now, upstream, counts);
        if let Some(member) = self.members.get_mut(upstream).filter(|_| counts.unreached > 0) {
            member.unreached_at = Some(now);
        }
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
        member.note_trials(now, counts, before, after);
        if after != before && after == State::Closed && !member.circuit.was_cleared() {
            self.outages.add(member.circuit.outage_duration());
        }
        after != before
    }

    /// Records that a request of this entry begins a trial.
    pub fn begin_trial(&mut self, now: Moment, upstream: &UpstreamId) {
        if let Some(member) = self.members.get_mut(upstream) {
            member.begun_at = Some(now);
            member.trial = None;
        }
    }

    /// Advances all breakers and schedules trials; returns whether anything changed.
    pub fn tick(&mut self, now: Moment) -> bool {
        let mut changed = false;
        let delay_max = self.trial_delay_max();
        for member in self.members.values_mut() {
            member.delay_max = delay_max;
            let before = member.circuit.state();
            member.circuit.tick(now);
            let after = member.circuit.state();
            changed |= after != before;
            if !matches!(after, State::HalfOpen { .. }) {
                continue;
            }
            if !matches!(before, State::HalfOpen { .. }) {
                member.start_trials(now, &self.outages);
            }
            let allowed = member.allowed(now);
            let is_due = allowed.is_some();
            let allows_any = allowed == Some(true);
            if is_due != member.trial.is_some() || allows_any != member.allows_any {
                self.trials += 1;
                member.trial = is_due.then_some(self.trials);
                member.allows_any = allows_any;
                changed = true;
            }
        }
        changed
    }

    /// Longest time from the last failure of an upstream until any request may make a trial of it.
    fn trial_delay_max(&self) -> Duration {
        let (out, all) = (self.unclosed().count() as f64, self.members.len() as f64);
        let idle_max = IDLE_SHARE_MAX * all - IDLE_BY_CHANCE;
        match out {
            _ if idle_max < 1.0 || out > MOST * all => TRIAL_DELAY_MAX_TIGHT,
            _ if out <= idle_max => TRIAL_DELAY_MAX_FEW,
            _ => TRIAL_DELAY_MAX,
        }
    }

    /// When [`Self::tick`] is next needed.
    pub fn wake(&self) -> Option<Moment> {
        let due = |member: &Member| match member.circuit.state() {
            State::HalfOpen { .. } => member.trial_wake(),
            _ => member.circuit.wake(),
        };
        self.members.values().filter_map(due).min()
    }

    /// Trials that are due at this entry, the one that has been due for longest first.
    pub fn trials(&self) -> Vec<Trial> {
        let is_due = |(_, member): &(_, &Member)| member.trial.is_some();
        let mut due: Vec<_> = self.members.iter().filter(is_due).collect();
        due.sort_by_key(|(_, member)| member.any_from);
        let trial = |(upstream, member): (&UpstreamId, &Member)| {
            let allows_any = member.allows_any;
            member.trial.map(|number| Trial { allows_any, number, upstream: upstream.clone() })
        };
        due.into_iter().filter_map(trial).collect()
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

    /// Upstreams to which this entry has to send requests in time while they are in use.
    pub fn duties(&self, now: Moment) -> BTreeMap<UpstreamId, Duty> {
        let duties = self.members.iter().filter_map(|(id, member)| Some((id, member.duty(now)?)));
        duties.map(|(id, duty)| (id.clone(), duty)).collect()
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

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
