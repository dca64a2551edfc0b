//! Circuit breakers of all services at one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::balance::Rank;
use crate::breaker::Cause;
use crate::breaker::Counts;
use crate::breaker::Group;
use crate::breaker::Idle;
use crate::breaker::LocalFault;
use crate::breaker::State;
use crate::clock::Moment;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::overdue_counter::OverdueCounter;

/// Shortest interval between two ticks. With 150 of 508 upstreams out, a trial or a pause ends
/// every few milliseconds, and an entry that wakes for each would spend more on that than on
/// its callers. A trial that starts this much later does no harm.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Circuit breakers of all services at one entry.
#[derive(Debug)]
pub(super) struct Breakers {
    local_fault: LocalFault,
    ticked_at: Moment,
    overdue: OverdueCounter,
    groups: BTreeMap<ServiceId, Group>,
}

/// Effect of one recorded outcome on the breaker of its upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Effect {
    /// Whether errors recur in the service, so that a single one is a sign of a fault and other
    /// entries should learn of it at once.
    pub(super) is_alarming: bool,
    /// State of the breaker before the outcome.
    pub(super) before: State,
    /// Why the breaker opened the last time.
    pub(super) cause: Option<Cause>,
    /// Whether the state of the breaker changed.
    pub(super) has_changed: bool,
    /// Answers that show that the upstream was taken out for a request that was only slow.
    pub(super) cleared: u32,
    /// Whether the outcome is evidence about the upstream, and not about this entry's network.
    pub(super) is_evidence: bool,
    /// State of the breaker after the outcome.
    pub(super) state: State,
}

impl Breakers {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            local_fault: LocalFault::default(),
            ticked_at: now,
            overdue: OverdueCounter::default(),
            groups: BTreeMap::new(),
        }
    }

    /// Returns the breakers of one service.
    pub(super) fn get(&self, service: &ServiceId) -> Option<&Group> {
        self.groups.get(service)
    }

    /// Upstreams of each service of which no outcome was recorded for `span`, if there are any.
    pub(super) fn idle(&self, now: Moment, span: Duration) -> Vec<(ServiceId, Idle)> {
        let idle = self.groups.iter().map(|(name, group)| (name.clone(), group.idle(now, span)));
        idle.filter(|(_, idle)| !idle.is_empty()).collect()
    }

    /// Whether this entry's own network is the likely cause of its broken answers.
    pub(super) fn is_local_fault(&mut self, now: Moment) -> bool {
        self.local_fault.is_likely(now)
    }

    /// When the next [`Self::tick`] is due.
    pub(super) fn next_at(&self) -> Option<Moment> {
        let next = self.groups.values().filter_map(Group::wake).min();
        next.map(|at| at.max(self.ticked_at + TICK_INTERVAL))
    }

    /// Advances the breakers to `now`; returns whether any state changed.
    pub(super) fn tick(&mut self, now: Moment) -> bool {
        if now < self.ticked_at + TICK_INTERVAL {
            return false;
        }
        self.ticked_at = now;
        let mut changed = false;
        for group in self.groups.values_mut() {
            changed |= group.tick(now);
        }
        changed
    }

    /// Adds an upstream that accepts requests; `floor` is the share of the service's slots that
    /// stays in use whatever the breakers say.
    pub(super) fn join(
        &mut self,
        service: &ServiceId,
        upstream: UpstreamId,
        slots: u32,
        floor: f64,
    ) {
        let group = self.groups.entry(service.clone()).or_insert_with(|| Group::new(floor));
        group.join(upstream, slots);
    }

    /// Removes the breaker of an upstream that accepts no more requests.
    pub(super) fn leave(&mut self, upstream: &UpstreamId) {
        self.groups.values_mut().for_each(|group| group.leave(upstream));
    }

    /// Removes all state of an upstream.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.overdue.remove(upstream);
        self.leave(upstream);
    }

    /// Sets the rank of this entry among those that make trials of an upstream.
    pub(super) fn set_rank(&mut self, service: &ServiceId, upstream: &UpstreamId, rank: Rank) {
        if let Some(group) = self.groups.get_mut(service) {
            group.set_rank(upstream, rank);
        }
    }

    /// Records that a request of this entry begins a trial.
    pub(super) fn begin_trial(&mut self, now: Moment, service: &ServiceId, upstream: &UpstreamId) {
        if let Some(group) = self.groups.get_mut(service) {
            group.begin_trial(now, upstream);
        }
    }

    /// Sets the share of each service's slots that stays in use.
    pub(super) fn set_floors(&mut self, floor: impl Fn(&ServiceId) -> f64) {
        self.groups.iter_mut().for_each(|(service, group)| group.set_floor(floor(service)));
    }

    /// Records an outcome of this entry's callers; `None` if the service is unknown.
    pub(super) fn record_own(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
    ) -> Option<Effect> {
        let group = self.groups.get_mut(service)?;
        let before = group.state(upstream);
        let serves_others = group.serves_others(now, upstream);
        let has_changed = group.record_own(now, upstream, counts);
        let cleared = u32::from(has_changed && group.was_cleared(upstream));
        if counts.lost() > 0 && serves_others {
            self.local_fault.record(now, upstream);
        }
        let is_evidence = !self.local_fault.is_likely(now);
        Some(Effect {
            is_alarming: group.has_recurring_errors(),
            before,
            cause: group.cause(upstream),
            has_changed,
            cleared,
            is_evidence,
            state: group.state(upstream),
        })
    }

    /// Records outcomes of other entries' callers; returns whether the breaker's state changed.
    pub(super) fn record_others(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
    ) -> bool {
        let group = self.groups.get_mut(service);
        group.is_some_and(|group| group.record(now, upstream, counts))
    }

    /// Counts requests that have waited far longer than the median latency, each once; `ages` are
    /// the waits of all pending requests.
    pub(super) fn count_overdue(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        ages: &[Duration],
    ) -> Counts {
        let median = self.groups.get(service).and_then(Group::median_latency).unwrap_or_default();
        self.overdue.count(upstream, median, ages)
    }
}
