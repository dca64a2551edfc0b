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
use crate::replay::Policy;
use crate::replay::Recorder;
use crate::replay::Tape;
use crate::retry;
use crate::settings;
use crate::settings::Settings;

use super::queue::Queue;

/// Turns of all entries together, over the slots of all upstreams. Callers spread over the
/// entries unevenly by chance, and an entry must not refuse what the others have room for;
/// when all are full, two requests for each slot wait at its upstream, half of what its own
/// queue takes. Mean worth of four days of the smaller site with four seeds: 0.483 at 1.5
/// times, 0.502 at 2, 0.527 at 3, 0.512 at 5.
const OVERCOMMIT: f64 = 3.0;
/// Least turns of an entry: with fewer, one long request holds up all others.
const SLOTS_MIN: usize = 4;

/// One service, as the traffic threads of this process share it.
pub(in crate::node) struct Service {
    /// Whether the whole fleet starts for the first time.
    is_first: bool,
    pub(in crate::node) name: ServiceId,
    picker: Mutex<Choice>,
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
        let tape = |kind: &str| Tape::new(recorder, format_compact!("{kind}/{name}"));
        let policy = Policy::new(seed, tape("policy"));
        let picker = Picker::new(setup, ChaCha8Rng::seed_from_u64(seed));
        let queue = Queue::new(seed, tape("gate"));
        Self {
            is_first: settings.first_start,
            name,
            picker: Mutex::new(Choice {
                members: Vec::new(),
                picker,
                slots: 0,
                tried: BTreeSet::new(),
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
        avoid: &[UpstreamId],
        is_long: bool,
    ) -> Option<Pick> {
        self.choice(now, view).picker.pick(now, &Request { avoid, is_long })
    }

    /// A place at an upstream that is to be tried, each trial once; `repeatable` where the
    /// request can be sent again elsewhere.
    pub(super) fn pick_trial(
        &self,
        now: Moment,
        view: &view::Service,
        repeatable: bool,
    ) -> Option<Pick> {
        if view.trials.is_empty() {
            return None;
        }
        let mut choice = self.choice(now, view);
        let is_new = |trial: &&Trial| !choice.tried.contains(&trial.number);
        let takes = |trial: &&Trial| repeatable || trial.allows_any;
        let trial = view.trials.iter().filter(takes).find(is_new)?;
        choice.tried.insert(trial.number);
        choice.picker.pick_only(now, &trial.upstream, false)
    }

    pub(super) fn finish(&self, now: Moment, ticket: Ticket, completion: Completion) {
        self.lock().picker.finish(now, ticket, completion);
    }

    /// What may be tried again, and the budget for it.
    pub(super) fn policy(&self, now: Moment) -> MutexGuard<'_, Policy> {
        let mut policy = self.policy.lock().unwrap_or_else(PoisonError::into_inner);
        policy.advance(now);
        policy
    }

    /// Requests that wait unusually long for an upstream's first byte.
    pub(in crate::node) fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        self.lock().picker.overdue(now)
    }

    /// Lets others run in place of `stuck` requests, which hold an upstream's slot but
    /// will not give it back soon: without that, one silent upstream fills all turns of
    /// the service, and callers are refused while the other upstreams idle.
    pub(super) fn make_up_for(&self, now: Moment, stuck: usize) {
        let slots = self.lock().slots;
        if slots > 0 {
            self.queue.set_slots(now, slots + stuck.min(slots));
        }
    }

    /// Brings queue and picker up to a newer view; whichever request comes first does.
    pub(super) fn catch_up(&self, now: Moment, view: &view::Service) {
        drop(self.choice(now, view));
    }

    fn choice(&self, now: Moment, view: &view::Service) -> MutexGuard<'_, Choice> {
        let mut choice = self.lock();
        if choice.version < view.version {
            choice.version = view.version;
            choice.picker.set_entries(view.entries);
            if choice.members != view.members {
                choice.picker.set_members(&view.members);
                choice.members.clone_from(&view.members);
            }
            choice.picker.refresh(view);
            choice.tried.retain(|tried| view.trials.iter().any(|trial| trial.number == *tried));
            self.limit_retries(now, view.sharing);
            choice.slots = slots(view);
            self.queue.set_slots(now, choice.slots);
        }
        choice
    }

    fn limit_retries(&self, now: Moment, sharing: Option<usize>) {
        if self.retry.pooled {
            let settings::Retry { burst, share, window, .. } = self.retry;
            let limits = retry::Limits::part(share, burst, window, sharing);
            let limits = retry::Limits { is_first: self.is_first, ..limits };
            self.policy(now).set_limits(limits);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Choice> {
        self.picker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The picker as of one view.
struct Choice {
    /// Upstreams that the picker knows: the view changes often, they seldom.
    members: Vec<balance::Member>,
    picker: Picker,
    /// Turns of this entry.
    slots: usize,
    /// Trials of the view that were made.
    tried: BTreeSet<u64>,
    /// Version of the view.
    version: u64,
}

/// This entry's share of the slots of all upstreams that health lets work.
fn slots(view: &view::Service) -> usize {
    let sound = |member: &&balance::Member| view.weight(&member.upstream) > 0.0;
    let slots = view.members.iter().filter(sound).map(|member| u64::from(member.slots));
    let all: u64 = slots.sum();
    let share = all as f64 * OVERCOMMIT / view.entries.max(1) as f64;
    (share.ceil() as usize).clamp(SLOTS_MIN, SLOTS_MIN.max(all as usize))
}
