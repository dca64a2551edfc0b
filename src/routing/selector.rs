//! Chooses the upstream of each request of one service.

use std::collections::BTreeSet;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::balance::Completion;
use crate::balance::Pick;
use crate::balance::Picker;
use crate::balance::Request;
use crate::balance::Ticket;
use crate::breaker::Trial;
use crate::clock::Moment;
use crate::id::UpstreamId;

use super::Service;

/// Ratio of concurrent requests admitted by all entries together to the slots of all upstreams.
/// Callers spread unevenly over entries: with a lower ratio, busy entries refuse requests that
/// upstreams have room for. If all entries are full, two requests per slot wait at each upstream,
/// whose own queue has room for them. With a higher ratio, more requests wait there, where the gate
/// can't refuse them, and time out.
const OVERCOMMIT: f64 = 3.0;
/// Least slots of an entry: with fewer, one long request blocks all others.
const MIN_SLOTS: usize = 4;

/// Chooses the upstream of each request of one service, by the newest snapshot.
#[derive(Clone, Debug)]
pub struct Selector {
    /// Numbers of the snapshot's trials.
    due_trials: BTreeSet<u64>,
    /// Trials that were due here and that no request made, since they were last counted.
    lapsed_trials: u64,
    /// Upstreams known to the picker; compared because they change less often than the snapshot.
    members: Vec<balance::Member>,
    picker: Picker,
    /// Numbers of the snapshot's trials that were already sent.
    sent_trials: BTreeSet<u64>,
    /// Slots of this entry.
    slots: usize,
    /// Version of the snapshot.
    version: u64,
}

impl Selector {
    /// Creates a selector without upstreams.
    pub fn new(setup: balance::Setup, random: ChaCha8Rng) -> Self {
        Self {
            due_trials: BTreeSet::new(),
            lapsed_trials: 0,
            members: Vec::new(),
            picker: Picker::new(setup, random),
            sent_trials: BTreeSet::new(),
            slots: 0,
            version: 0,
        }
    }

    /// Updates the choice to a newer snapshot; returns whether it was one.
    pub fn update(&mut self, now: Moment, service: &Service) -> bool {
        if self.version >= service.version {
            return false;
        }
        self.version = service.version;
        self.picker.set_entries(service.entries);
        self.picker.set_coverage(service.coverage);
        if self.members != service.members {
            self.picker.set_members(&service.members);
            self.members.clone_from(&service.members);
        }
        self.picker.refresh(now, service);
        self.picker.set_rates(now, |upstream| Some(service.limits.get(upstream)?.rate));
        self.set_trials(&service.trials);
        self.slots = slots(service);
        true
    }

    /// Picks an upstream and counts the request as in flight there; `None` if all are full.
    pub fn pick(&mut self, now: Moment, request: &Request<'_>) -> Option<Pick> {
        self.picker.pick(now, request)
    }

    /// Picks an upstream that is due for a trial request, once per trial. `is_repeatable` tells
    /// whether the request can be sent again elsewhere.
    pub fn pick_trial(
        &mut self,
        now: Moment,
        service: &Service,
        is_repeatable: bool,
    ) -> Option<Pick> {
        if service.trials.is_empty() {
            return None;
        }
        let is_unsent = |trial: &&Trial| !self.sent_trials.contains(&trial.number);
        // With upstreams to spare, a request that may be lost is not needed to find one more.
        let has_spare = self.picker.has_spare();
        let accepts = |trial: &&Trial| is_repeatable || (trial.allows_any && !has_spare);
        let trials = service.trials.iter().filter(accepts).filter(is_unsent);
        let mut picks = trials.filter_map(|trial| {
            let pick = self.picker.pick_only(now, &trial.upstream, false)?;
            Some((trial.number, pick))
        });
        let (number, pick) = picks.next()?;
        self.sent_trials.insert(number);
        Some(pick)
    }

    /// Records that an upstream wants no requests of this entry for some time.
    pub fn rest(&mut self, now: Moment, upstream: &UpstreamId, span: Duration) {
        self.picker.rest(now, upstream, span);
    }

    /// Records that an upstream is leaving; returns whether that is new.
    pub fn leave(&mut self, now: Moment, upstream: &UpstreamId) -> bool {
        self.picker.leave(now, upstream)
    }

    /// Whether an upstream wants no request now, because it rests or leaves.
    pub fn is_held(&self, now: Moment, upstream: &str) -> bool {
        self.picker.is_held(now, upstream)
    }

    /// Time until the first upstream has rested, if all of them rest.
    pub fn rest_left(&self, now: Moment) -> Option<Duration> {
        self.picker.rest_left(now)
    }

    /// Records the completion of a request.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, completion: Completion) {
        self.picker.finish(now, ticket, completion);
    }

    /// Ages of requests that have waited unusually long for an upstream's first byte.
    pub fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        self.picker.overdue(now)
    }

    /// Requests that this entry may run at once.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Trials that were due here and that no request made, since the last call.
    pub fn take_lapsed_trials(&mut self) -> u64 {
        std::mem::take(&mut self.lapsed_trials)
    }

    /// Replaces the trials that are due.
    fn set_trials(&mut self, trials: &[Trial]) {
        let due: BTreeSet<u64> = trials.iter().map(|trial| trial.number).collect();
        let is_lapsed = |number: &&u64| !due.contains(number) && !self.sent_trials.contains(number);
        self.lapsed_trials += self.due_trials.iter().filter(is_lapsed).count() as u64;
        self.sent_trials.retain(|number| due.contains(number));
        self.due_trials = due;
    }
}

/// This entry's share of the slots of all upstreams that are not ejected and name no limit.
fn slots(service: &Service) -> usize {
    let is_usable = |member: &&balance::Member| {
        let weight = balance::Health::weight(service, &member.upstream);
        weight > 0.0 && !service.limits.contains_key(&member.upstream)
    };
    let slots = service.members.iter().filter(is_usable).map(|member| u64::from(member.slots));
    let total: u64 = slots.sum();
    // Each of the entries that may use an upstream has a part of it.
    let share = total as f64 * OVERCOMMIT / service.followers.max(1) as f64;
    (share.ceil() as usize).clamp(MIN_SLOTS, MIN_SLOTS.max(total as usize))
}
