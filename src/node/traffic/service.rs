use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use compact_str::format_compact;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::balance::Completion;
use crate::balance::Health;
use crate::balance::Pick;
use crate::balance::Picker;
use crate::balance::Request;
use crate::balance::Ticket;
use crate::breaker::Trial;
use crate::clock::Moment;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::view;
use crate::replay::MachineRecorder;
use crate::replay::Policy;
use crate::replay::Recorder;
use crate::retry;
use crate::settings;
use crate::settings::Settings;

use super::queue::Queue;

/// Ratio of concurrent requests admitted by all entries together to the slots of all upstreams.
/// Callers spread unevenly over entries: with a lower ratio, busy entries refuse requests that
/// upstreams have room for. If all entries are full, two requests per slot wait at each upstream,
/// whose own queue has room for them. With a higher ratio, more requests wait there, where the gate
/// can't refuse them, and time out.
const OVERCOMMIT: f64 = 3.0;
/// Least slots of an entry: with fewer, one long request blocks all others.
const MIN_SLOTS: usize = 4;

/// State of one service, shared by the traffic threads of this process.
pub(in crate::node) struct Service {
    /// Whether the whole fleet starts for the first time.
    is_first: bool,
    pub(in crate::node) name: ServiceId,
    selector: Mutex<Selector>,
    policy: Mutex<Policy>,
    pub(in crate::node) queue: Queue,
    retry: settings::Retry,
}

impl Service {
    pub(super) fn new(name: ServiceId, settings: &Settings, recorder: &Recorder) -> Self {
        let node = &settings.node;
        let mut setup = balance::Setup::new(node.id.clone(), node.failure_domain.clone(), 1);
        setup.local = settings.traffic.local;
        let seed = crate::node::incarnation();
        let machine_recorder =
            |kind: &str| MachineRecorder::new(recorder, format_compact!("{kind}/{name}"));
        let policy = Policy::new(seed, machine_recorder("policy"));
        let picker = Picker::new(setup, ChaCha8Rng::seed_from_u64(seed));
        let queue = Queue::new(seed, machine_recorder("gate"));
        Self {
            is_first: settings.first_start,
            name,
            selector: Mutex::new(Selector {
                due_trials: BTreeSet::new(),
                lapsed_trials: 0,
                members: Vec::new(),
                picker,
                slots: 0,
                sent_trials: BTreeSet::new(),
                version: 0,
            }),
            policy: Mutex::new(policy),
            queue,
            retry: settings.retry.clone(),
        }
    }

    pub(super) fn pick(
        &self,
        now: Moment,
        view: &view::Service,
        request: &Request<'_>,
    ) -> Option<Pick> {
        self.selector(now, view).picker.pick(now, request)
    }

    /// Picks an upstream that is due for a trial request, once per trial. `is_repeatable` tells
    /// whether the request can be sent again elsewhere.
    pub(super) fn pick_trial(
        &self,
        now: Moment,
        view: &view::Service,
        is_repeatable: bool,
    ) -> Option<Pick> {
        if view.trials.is_empty() {
            return None;
        }
        let mut selector = self.selector(now, view);
        let is_unsent = |trial: &&Trial| !selector.sent_trials.contains(&trial.number);
        // With upstreams to spare, a request that may be lost is not needed to find one more.
        let has_spare = selector.picker.has_spare();
        let accepts = |trial: &&Trial| is_repeatable || (trial.allows_any && !has_spare);
        let trial = view.trials.iter().filter(accepts).find(is_unsent)?;
        let pick = selector.picker.pick_only(now, &trial.upstream, false)?;
        selector.sent_trials.insert(trial.number);
        Some(pick)
    }

    pub(super) fn finish(&self, now: Moment, ticket: Ticket, completion: Completion) {
        self.lock().picker.finish(now, ticket, completion);
    }

    /// The retry policy and its budget, advanced to `now`.
    pub(super) fn policy(&self, now: Moment) -> MutexGuard<'_, Policy> {
        let mut policy = self.policy.lock().unwrap_or_else(PoisonError::into_inner);
        policy.advance(now);
        policy
    }

    /// Ages of requests that have waited unusually long for an upstream's first byte.
    pub(in crate::node) fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        self.lock().picker.overdue(now)
    }

    /// Admits extra requests in place of `stuck` ones, which hold an upstream's slot and will not
    /// release it soon. Otherwise one silent upstream fills all slots of the service, and callers
    /// are refused while the other upstreams are idle.
    pub(super) fn compensate_stuck(&self, now: Moment, stuck: usize) {
        let slots = self.lock().slots;
        if slots > 0 {
            self.queue.set_slots(now, slots + stuck.min(slots));
        }
    }

    /// Updates queue and picker to a newer view; the first request after a change does this.
    pub(super) fn refresh(&self, now: Moment, view: &view::Service) {
        drop(self.selector(now, view));
    }

    fn selector(&self, now: Moment, view: &view::Service) -> MutexGuard<'_, Selector> {
        let mut selector = self.lock();
        if selector.version < view.version {
            selector.version = view.version;
            selector.picker.set_entries(view.entries);
            selector.picker.set_coverage(view.coverage);
            if selector.members != view.members {
                selector.picker.set_members(&view.members);
                selector.members.clone_from(&view.members);
            }
            selector.picker.refresh(view);
            selector.picker.set_rates(now, |upstream| Some(view.limits.get(upstream)?.rate));
            selector.set_trials(&view.trials);
            self.limit_retries(now, view.retry_part);
            selector.slots = slots(view);
            self.queue.set_slots(now, selector.slots);
        }
        selector
    }

    /// Trials that were due here and that no request made, since the last call.
    pub(super) fn take_lapsed_trials(&self) -> u64 {
        std::mem::take(&mut self.lock().lapsed_trials)
    }

    fn limit_retries(&self, now: Moment, retry_part: f64) {
        if self.retry.pooled {
            let settings::Retry { burst, share, window, .. } = self.retry;
            let limits = retry::Limits::per_entry(share, burst, window, retry_part);
            let limits = retry::Limits { is_first: self.is_first, ..limits };
            self.policy(now).set_limits(limits);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Selector> {
        self.selector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The picker and the view it was last updated to.
struct Selector {
    /// Numbers of the view's trials.
    due_trials: BTreeSet<u64>,
    /// Trials that were due here and that no request made, since they were last counted.
    lapsed_trials: u64,
    /// Upstreams known to the picker; compared because they change less often than the view.
    members: Vec<balance::Member>,
    picker: Picker,
    /// Slots of this entry.
    slots: usize,
    /// Numbers of the view's trials that were already sent.
    sent_trials: BTreeSet<u64>,
    /// Version of the view.
    version: u64,
}

impl Selector {
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
fn slots(view: &view::Service) -> usize {
    let is_usable = |member: &&balance::Member| {
        view.weight(&member.upstream) > 0.0 && !view.limits.contains_key(&member.upstream)
    };
    let slots = view.members.iter().filter(is_usable).map(|member| u64::from(member.slots));
    let total: u64 = slots.sum();
    // Each of the entries that may use an upstream has a part of it.
    let share = total as f64 * OVERCOMMIT / view.followers.max(1) as f64;
    (share.ceil() as usize).clamp(MIN_SLOTS, MIN_SLOTS.max(total as usize))
}
