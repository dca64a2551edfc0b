//! Breakers of all services at one entry, and what they are told.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::breaker::Cause;
use crate::breaker::Counts;
use crate::breaker::Group;
use crate::breaker::LocalFault;
use crate::breaker::State;
use crate::clock::Moment;
use crate::id::ServiceId;
use crate::id::UpstreamId;

use super::overdue::Overdue;

/// Shortest pause between two looks at the breakers. With 150 of 508 upstreams out, some trial or
/// pause ends every few milliseconds, and an entry that wakes for each spends more on that than
/// on its callers; nobody misses a trial that comes so much later.
const LOOK: Duration = Duration::from_millis(25);

/// Breakers of all services at one entry.
#[derive(Debug)]
pub(super) struct Breakers {
    local_fault: LocalFault,
    looked_at: Moment,
    overdue: Overdue,
    groups: BTreeMap<ServiceId, Group>,
    random: ChaCha8Rng,
}

/// What became of something that a caller received here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Noted {
    /// Whether an error there is a sign of a fault, and others should know of it at once.
    pub(super) alarmed: bool,
    /// State of the upstream's breaker before.
    pub(super) before: State,
    /// What took the upstream out, the last time.
    pub(super) cause: Option<Cause>,
    /// Whether the upstream's breaker changed.
    pub(super) changed: bool,
    /// Answers that show that it was out for a request that was only slow.
    pub(super) cleared: u32,
    /// Whether it says something of the upstream, and not of this entry's own network.
    pub(super) is_evidence: bool,
    /// State of the upstream's breaker.
    pub(super) state: State,
}

impl Breakers {
    pub(super) fn new(now: Moment, random: ChaCha8Rng) -> Self {
        Self {
            local_fault: LocalFault::default(),
            looked_at: now,
            overdue: Overdue::default(),
            groups: BTreeMap::new(),
            random,
        }
    }

    /// Breakers of one service.
    pub(super) fn get(&self, service: &ServiceId) -> Option<&Group> {
        self.groups.get(service)
    }

    /// When they want to be looked at.
    pub(super) fn wake(&self) -> Option<Moment> {
        let next = self.groups.values().filter_map(Group::wake).min();
        next.map(|at| at.max(self.looked_at + LOOK))
    }

    /// Moves on with time; whether any state changed.
    pub(super) fn look(&mut self, now: Moment) -> bool {
        if now < self.looked_at + LOOK {
            return false;
        }
        self.looked_at = now;
        let mut changed = false;
        for group in self.groups.values_mut() {
            changed |= group.tick(now);
        }
        changed
    }

    /// An upstream takes work; `floor` is the share of the service's slots that stay in use.
    pub(super) fn join(
        &mut self,
        service: &ServiceId,
        upstream: UpstreamId,
        slots: u32,
        floor: f64,
    ) {
        let random = &mut self.random;
        let fresh = || Group::new(floor, ChaCha8Rng::seed_from_u64(random.next_u64()));
        let group = self.groups.entry(service.clone()).or_insert_with(fresh);
        group.join(upstream, slots);
    }

    /// An upstream takes no more work.
    pub(super) fn leave(&mut self, upstream: &UpstreamId) {
        self.groups.values_mut().for_each(|group| group.leave(upstream));
    }

    /// An upstream is gone, with all that is known of it.
    pub(super) fn lose(&mut self, upstream: &UpstreamId) {
        self.overdue.forget(upstream);
        self.leave(upstream);
    }

    /// Sets how many entries share the trials.
    pub(super) fn set_entries(&mut self, entries: usize) {
        self.groups.values_mut().for_each(|group| group.set_entries(entries));
    }

    /// Sets the share of each service's slots that stay in use.
    pub(super) fn set_floors(&mut self, floor: impl Fn(&ServiceId) -> f64) {
        self.groups.iter_mut().for_each(|(service, group)| group.set_floor(floor(service)));
    }

    /// Takes what a caller received here; `None` where the service is not known.
    pub(super) fn note_own(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
    ) -> Option<Noted> {
        let group = self.groups.get_mut(service)?;
        let before = group.state(upstream);
        let serves_others = group.serves_others(now, upstream);
        let changed = group.record_own(now, upstream, counts);
        let cleared = u32::from(changed && group.was_cleared(upstream));
        if counts.lost() > 0 && serves_others {
            self.local_fault.record(now, upstream);
        }
        let is_evidence = !self.local_fault.is_likely(now);
        Some(Noted {
            alarmed: group.has_recurring_errors(),
            before,
            cause: group.cause(upstream),
            changed,
            cleared,
            is_evidence,
            state: group.state(upstream),
        })
    }

    /// Takes what callers of other entries received; whether the upstream's state changed.
    pub(super) fn note_others(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
    ) -> bool {
        let group = self.groups.get_mut(service);
        group.is_some_and(|group| group.record(now, upstream, counts))
    }

    /// Requests of these `ages` that wait far longer than usual, each counted once.
    pub(super) fn count_overdue(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        ages: &[Duration],
    ) -> Counts {
        let usual = self.groups.get(service).and_then(Group::median_latency).unwrap_or_default();
        self.overdue.count(upstream, usual, ages)
    }
}
