use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::task;
use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;

use crate::boundary::Boundary;
use crate::clock::Moment;
use crate::directory::Answer;
use crate::directory::Directory;
use crate::exchange::Connector;
use crate::exchange::Memory;
use crate::exchange::Pool;
use crate::health;
use crate::health::Observation;
use crate::id::RequestId;
use crate::id::ServiceId;
use crate::metrics::Metrics;
use crate::node::Input;
use crate::node::InputSender;
use crate::node::View;
use crate::node::input_channel::SendError;
use crate::replay::Recorder;
use crate::retry::Standstill;
use crate::runtime;
use crate::settings::Settings;

use super::descriptors::Accepts;
use super::poison::Poison;
use super::rate_limiter::RateLimiter;
use super::reach::Reach;
use super::service::Service;

/// Observations that may wait for the control thread's next turn: those of a tenth of a second at
/// many times the highest request rate of one entry.
const MAX_PENDING_OBSERVATIONS: usize = 10_000;

/// Memory for bodies of operations, in bytes: two of the largest configurations at once.
const MAX_OPERATION_BYTES: u64 = 32 << 20;

/// Interval at which a process that runs records a turn. Queues are polled at least as often.
const TURN_INTERVAL: Duration = health::Config::TICK;

/// What a [`Proxy`] is made of.
pub(crate) struct Setup {
    pub(crate) boundary: Arc<dyn Boundary>,
    /// Opens connections to upstreams.
    pub(crate) connector: Arc<dyn Connector>,
    pub(crate) control: InputSender,
    /// Closed when the process stops serving.
    pub(crate) done: Receiver<()>,
    pub(crate) metrics: Metrics,
    pub(crate) recorder: Recorder,
    pub(crate) settings: Settings,
    pub(crate) started: Instant,
}

/// State of the proxy in one process, shared by its traffic threads.
pub(crate) struct Proxy {
    pub(super) accepts: Accepts,
    pub(super) poison: Poison,
    pub(super) rate_limiter: Arc<RateLimiter>,
    pub(super) reach: Reach,
    arrivals: AtomicU32,
    bytes: AtomicU64,
    pub(super) body_memory: Memory,
    /// For bodies of operations, so that callers' uploads hold up no operator.
    pub(crate) operation_memory: Memory,
    pub(crate) connections: AtomicUsize,
    /// Opens connections to upstreams.
    pub(super) connector: Arc<dyn Connector>,
    closed: (Sender<()>, Receiver<()>),
    pub(crate) boundary: Arc<dyn Boundary>,
    control: InputSender,
    pub(crate) directory: Mutex<Directory>,
    /// Closed when the process stops serving.
    pub(crate) done: Receiver<()>,
    drain: (Sender<()>, Receiver<()>),
    pub(crate) in_flight: AtomicUsize,
    pub(crate) open_claims: AtomicUsize,
    /// Whether each connection closes after its current request.
    pub(crate) closing: AtomicBool,
    leaving_since: Mutex<Option<Moment>>,
    poll_signal: (Sender<()>, Receiver<()>),
    lost_outcomes: AtomicU64,
    pub(crate) metrics: Metrics,
    next_request: AtomicU64,
    observations: Mutex<Vec<Observation>>,
    pub(super) pool: Pool,
    /// Closed once the process has a configuration to serve.
    ready: (Sender<()>, Receiver<()>),
    recorder: Recorder,
    services: Mutex<BTreeMap<ServiceId, Arc<Service>>>,
    standstill: Mutex<Standstill>,
    pub(crate) settings: Settings,
    started: Instant,
    pub(crate) view: ArcSwap<View>,
}

impl Proxy {
    pub(crate) fn new(setup: Setup) -> Self {
        let Setup { settings, started, boundary, connector, control, done, metrics, recorder } =
            setup;
        let directory = Directory::new(settings.node.region.clone(), settings.directory.lifetime);
        let rate_limiter = RateLimiter::new(settings.node.id.clone(), settings.quota);
        Self {
            accepts: Accepts::default(),
            poison: Poison::new(),
            rate_limiter: Arc::new(rate_limiter),
            reach: Reach::new(crate::node::incarnation()),
            body_memory: Memory::new(settings.limits.body_memory),
            operation_memory: Memory::new(MAX_OPERATION_BYTES),
            boundary,
            closed: bounded(1),
            closing: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            connector,
            control,
            directory: Mutex::new(directory),
            done,
            drain: bounded(1),
            arrivals: AtomicU32::new(0),
            bytes: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            leaving_since: Mutex::default(),
            poll_signal: bounded(1),
            lost_outcomes: AtomicU64::new(0),
            metrics,
            open_claims: AtomicUsize::new(0),
            next_request: AtomicU64::new(crate::node::incarnation()),
            observations: Mutex::default(),
            pool: Pool::new(settings.limits.upstream_idle, Pool::MAX_IDLE),
            ready: bounded(1),
            recorder,
            services: Mutex::default(),
            standstill: Mutex::new(Standstill::new(TURN_INTERVAL)),
            settings,
            started,
            view: ArcSwap::from_pointee(View::default()),
        }
    }

    /// Serves callers by this view from now on.
    pub(crate) fn set_view(&self, view: View) {
        let serves = view.serves();
        let is_asked = *view.asked != *self.view.load().asked;
        self.view.store(Arc::new(view));
        if is_asked {
            self.reach.wake();
        }
        if serves {
            self.ready.0.close();
        }
    }

    /// Waits at most `longest` for the first configuration.
    pub(super) async fn wait_until_ready(&self, longest: Duration) {
        timeout(longest, self.ready.1.recv()).await.ok();
    }

    /// Time since the process started, on the control thread's clock.
    pub(crate) fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Sends to the control thread. If its channel is full, the input is dropped and counted,
    /// because traffic never waits for control.
    pub(crate) fn try_notify(&self, input: Input) {
        if self.control.try_send(input).is_err() {
            self.lost_outcomes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends to the control thread an input that must not be lost. If the channel is full, a task
    /// waits to deliver it. Without the end of its claim, a key would stay in progress until its
    /// limit, and a leaving process would wait for it. There are at most as many such tasks as
    /// keyed requests in flight.
    pub(super) fn notify(&self, input: Input) {
        let Err(SendError::Full(input)) = self.control.try_send(input) else { return };
        let control = self.control.clone();
        runtime::spawn(async move {
            if !control.send(*input).await {
                tracing::debug!(target: "hemlockfield::node", "the control thread has ended");
            }
        });
    }

    /// Records how an upstream handled a request, for the control thread to read at its next
    /// turn. A failure or a trial wakes it at once, because the next request may go to the same
    /// upstream.
    pub(crate) fn observe(&self, observation: Observation) {
        let evidence = self.reach.judge(self.now(), observation);
        if evidence.is_empty() {
            self.metrics.count("path.held");
            self.reach.wake();
        }
        evidence.into_iter().for_each(|observation| self.record_observation(observation));
    }

    /// Records evidence about an upstream.
    pub(super) fn record_observation(&self, observation: Observation) {
        let is_urgent = observation.is_trial || observation.kind.is_failure();
        let mut observations = self.observations.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = observations.len() >= MAX_PENDING_OBSERVATIONS;
        if is_full {
            self.lost_outcomes.fetch_add(1, Ordering::Relaxed);
        } else {
            observations.push(observation);
        }
        drop(observations);
        if is_urgent {
            self.try_notify(Input::Wake);
        }
    }

    /// Counts a request from a caller.
    pub(super) fn count_arrival(&self) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts body bytes of a request or an answer.
    pub(super) fn count_bytes(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Takes the requests and body bytes counted since the last call.
    pub(crate) fn take_throughput(&self) -> (u32, u64) {
        (self.arrivals.swap(0, Ordering::Relaxed), self.bytes.swap(0, Ordering::Relaxed))
    }

    /// Takes the recorded observations.
    pub(crate) fn take_observations(&self) -> Vec<Observation> {
        std::mem::take(&mut *self.observations.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Inputs and observations that were dropped.
    pub(crate) fn lost(&self) -> u64 {
        self.lost_outcomes.load(Ordering::Relaxed)
    }

    /// State of a service, created at its first request.
    pub(super) fn service(&self, name: &ServiceId) -> Arc<Service> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(service) = services.get(name) {
            return Arc::clone(service);
        }
        let service = Arc::new(Service::new(name.clone(), &self.settings, &self.recorder));
        services.insert(name.clone(), Arc::clone(&service));
        service
    }

    /// All services that have had a request.
    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.values().cloned().collect()
    }

    /// The entries that a caller should use.
    pub(crate) fn entries(&self, caller: &str) -> Answer {
        let view = self.view.load();
        let mut directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.answer(self.now(), caller, &view.entries)
    }

    /// Longest time that leaving may take.
    pub(crate) fn limit(&self) -> Duration {
        self.settings.shutdown.limit
    }

    /// Starts to drain the process.
    pub(crate) fn request_drain(&self) {
        let mut leaving = self.leaving_since.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.get_or_insert(self.now());
        drop(leaving);
        self.rate_limiter.leave(self.now());
        if self.settings.shutdown.notice.is_some() {
            self.closing.store(true, Ordering::Release);
        }
        self.drain.0.close();
    }

    /// Records that everything that was ready has run since the last call.
    pub(super) fn record_turn(&self, now: Moment) {
        self.lock_standstill().record_turn(now);
    }

    /// Longest time that a request may have waited, beyond the usual, that is read now.
    pub(super) fn longest_wait(&self, now: Moment) -> Duration {
        self.lock_standstill().waited(now)
    }

    fn lock_standstill(&self) -> MutexGuard<'_, Standstill> {
        self.standstill.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that the queues are polled soon.
    pub(super) fn request_poll(&self) {
        self.poll_signal.0.try_send(()).ok();
    }

    /// Waits until the queues must be polled, at most `longest`.
    pub(super) async fn wait_for_poll(&self, longest: Duration) {
        timeout(longest, self.poll_signal.1.recv()).await.ok();
    }

    /// Waits until a drain is requested.
    pub(crate) async fn drain_requested(&self) {
        self.drain.1.recv().await.ok();
    }

    /// Waits until connections may close.
    pub(super) async fn closed(&self) {
        self.closed.1.recv().await.ok();
    }

    /// Whether connections may close.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.1.is_closed()
    }

    /// When requests in flight are aborted, once the process leaves.
    pub(super) fn ends_at(&self) -> Option<Moment> {
        if !self.drain.1.is_closed() {
            return None;
        }
        let since = *self.leaving_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.map(|since| since + self.limit())
    }

    /// Waits until no caller can still use this entry, then until no request is in flight and
    /// control has the outcome of every claim.
    pub(crate) async fn drained(&self) {
        while !self.is_unlisted() {
            task::sleep(Self::DRAIN_POLL_INTERVAL).await;
        }
        self.closing.store(true, Ordering::Release);
        self.closed.0.close();
        while self.in_flight.load(Ordering::Acquire) > 0 {
            task::sleep(Self::DRAIN_POLL_INTERVAL).await;
        }
        while self.open_claims.load(Ordering::Acquire) > 0 {
            task::sleep(Self::DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Whether every list of entries that names this entry has expired.
    fn is_unlisted(&self) -> bool {
        if self.settings.listen.callers.is_none() {
            return true;
        }
        if let Some(notice) = self.settings.shutdown.notice {
            return self.leaving_for().is_some_and(|span| span >= notice);
        }
        let directory = self.directory.lock().unwrap_or_else(PoisonError::into_inner);
        directory.safe_to_stop(self.now())
    }

    /// Time since the drain was requested.
    fn leaving_for(&self) -> Option<Duration> {
        let since = *self.leaving_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.map(|since| self.now().saturating_sub(since))
    }

    /// Number and id for a new request.
    pub(super) fn next_request(&self) -> (u64, RequestId) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        (number, format_compact!("{}-{number:x}", self.settings.node.id))
    }

    /// Identity of a caller that gives no name.
    pub(super) fn unnamed_caller(&self, peer: IpAddr) -> CompactString {
        peer.to_compact_string()
    }

    /// Interval of polling for the end of requests in flight.
    pub(crate) const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
}
