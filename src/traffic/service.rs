use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use compact_str::format_compact;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::balance::Completion;
use crate::balance::Pick;
use crate::balance::Request;
use crate::balance::Ticket;
use crate::clock::Moment;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::replay::MachineRecorder;
use crate::replay::Policy;
use crate::replay::Recorder;
use crate::retry;
use crate::routing;
use crate::routing::Selector;
use crate::settings;
use crate::settings::Settings;

use super::queue::Queue;

/// State of one service, shared by the traffic threads of this process.
pub(crate) struct Service {
    pub(crate) name: ServiceId,
    selector: Mutex<Selector>,
    policy: Mutex<Policy>,
    pub(crate) queue: Queue,
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
        let selector = Selector::new(setup, ChaCha8Rng::seed_from_u64(seed));
        let queue = Queue::new(seed, machine_recorder("gate"));
        Self {
            name,
            selector: Mutex::new(selector),
            policy: Mutex::new(policy),
            queue,
            retry: settings.retry.clone(),
        }
    }

    pub(super) fn pick(
        &self,
        now: Moment,
        view: &routing::Service,
        request: &Request<'_>,
    ) -> Option<Pick> {
        self.selector(now, view).pick(now, request)
    }

    /// Picks an upstream that is due for a trial request, see [`Selector::pick_trial`].
    pub(super) fn pick_trial(
        &self,
        now: Moment,
        view: &routing::Service,
        is_repeatable: bool,
    ) -> Option<Pick> {
        self.selector(now, view).pick_trial(now, view, is_repeatable)
    }

    pub(super) fn finish(&self, now: Moment, ticket: Ticket, completion: Completion) {
        self.lock().finish(now, ticket, completion);
    }

    /// Records that an upstream wants no requests of this entry for some time.
    pub(super) fn rest(&self, now: Moment, upstream: &UpstreamId, span: Duration) {
        self.lock().rest(now, upstream, span);
    }

    /// Records that an upstream is leaving; returns whether that is new.
    pub(super) fn leave(&self, now: Moment, upstream: &UpstreamId) -> bool {
        self.lock().leave(now, upstream)
    }

    /// Whether an upstream wants no request now, because it rests or leaves.
    pub(super) fn is_held(&self, now: Moment, upstream: &UpstreamId) -> bool {
        self.lock().is_held(now, upstream)
    }

    /// Time until the first upstream has rested, if all of them rest.
    pub(super) fn rest_left(&self, now: Moment) -> Option<Duration> {
        self.lock().rest_left(now)
    }

    /// The retry policy and its budget, advanced to `now`.
    pub(super) fn policy(&self, now: Moment) -> MutexGuard<'_, Policy> {
        let mut policy = self.policy.lock().unwrap_or_else(PoisonError::into_inner);
        policy.advance(now);
        policy
    }

    /// Time within which most of its requests are answered; zero until it is known.
    pub(super) fn usual_latency(&self, now: Moment) -> Duration {
        self.policy(now).usual_latency().unwrap_or_default()
    }

    /// Ages of requests that have waited unusually long for an upstream's first byte.
    pub(crate) fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        self.lock().overdue(now)
    }

    /// Admits extra requests in place of `stuck` ones, which hold an upstream's slot and will not
    /// release it soon. Otherwise one silent upstream fills all slots of the service, and callers
    /// are refused while the other upstreams are idle.
    pub(super) fn compensate_stuck(&self, now: Moment, stuck: usize) {
        let slots = self.lock().slots();
        if slots > 0 {
            self.queue.set_slots(now, slots + stuck.min(slots));
        }
    }

    /// Updates queue and selector to a newer view; the first request after a change does this.
    pub(super) fn refresh(&self, now: Moment, view: &routing::Service) {
        drop(self.selector(now, view));
    }

    /// Trials that were due here and that no request made, since the last call.
    pub(super) fn take_lapsed_trials(&self) -> u64 {
        self.lock().take_lapsed_trials()
    }

    fn selector(&self, now: Moment, view: &routing::Service) -> MutexGuard<'_, Selector> {
        let mut selector = self.lock();
        if selector.update(now, view) {
            self.limit_retries(now, view.retry_part);
            self.queue.set_slots(now, selector.slots());
        }
        selector
    }

    fn limit_retries(&self, now: Moment, retry_part: f64) {
        if self.retry.pooled {
            let settings::Retry { burst, share, window, .. } = self.retry;
            let limits = retry::Limits::per_entry(share, burst, window, retry_part);
            self.policy(now).set_limits(limits);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Selector> {
        self.selector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
