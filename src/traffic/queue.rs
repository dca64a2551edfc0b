use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::task;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission::Arrival;
use crate::admission::Gate;
use crate::admission::Input;
use crate::admission::Outcome;
use crate::admission::Output;
use crate::admission::Reason;
use crate::clock::Advancing;
use crate::clock::Moment;
use crate::health;
use crate::node;
use crate::replay;
use crate::replay::MachineRecorder;
use crate::retry::Usage;
use crate::rule::Class;

use super::Proxy;

/// Interval of polling while requests wait: the shortest wait that a gate distinguishes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between reports of gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval of polling while no request waits: the health monitor's tick. It costs an idle
/// process a fiftieth of polling every 5 ms.
const IDLE_POLL_INTERVAL: Duration = health::Config::TICK;

/// Admission queue of one service: its gate and the waiting requests.
pub(crate) struct Queue {
    seed: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    classes: Vec<Class>,
    gate: Option<Gate>,
    slots: Option<usize>,
    machine_recorder: MachineRecorder,
    now: Advancing,
    waiting: BTreeMap<u64, (Arrival, Sender<Admission>)>,
}

/// Admission decision for one request.
#[derive(Clone, Debug)]
pub(super) enum Admission {
    /// Refuse the request as not run, with the reason and the time after which to retry.
    Refuse(Reason, Duration),
    /// Send the request to an upstream now.
    Admit,
}

/// Permission to run an admitted request. Counts as failed if dropped without an outcome.
pub(super) struct Permit<'a> {
    ended: bool,
    queue: &'a Queue,
    proxy: &'a Proxy,
    ticket: u64,
}

impl Queue {
    pub(super) fn new(seed: u64, machine_recorder: MachineRecorder) -> Self {
        Self { seed, state: Mutex::new(State { machine_recorder, ..State::default() }) }
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Waits for the admission decision. If this future is dropped, the request leaves the queue.
    pub(super) async fn enter<'a>(
        &'a self,
        proxy: &'a Proxy,
        classes: &[Class],
        arrival: Arrival,
    ) -> (Admission, Permit<'a>) {
        let (sender, receiver) = bounded(1);
        let permit = Permit { ended: false, queue: self, proxy, ticket: arrival.ticket };
        {
            let mut state = self.lock();
            let now = proxy.now();
            state.set_classes(now, classes, self.seed);
            state.waiting.insert(arrival.ticket, (arrival.clone(), sender));
            state.handle(now, Input::Arrive(arrival));
            if !state.waiting.is_empty() {
                proxy.request_poll();
            }
        }
        let admission = receiver.recv().await;
        let closed = Admission::Refuse(Reason::Overload, Duration::from_secs(1));
        (admission.unwrap_or(closed), permit)
    }

    /// Sets how many requests may run at once.
    pub(super) fn set_slots(&self, now: Moment, slots: usize) {
        let mut state = self.lock();
        state.slots = Some(slots);
        state.handle(now, Input::Capacity { slots: Some(slots) });
    }

    fn tick(&self, now: Moment) {
        let mut state = self.lock();
        let due = state.gate.as_ref().and_then(Gate::wake).is_some_and(|wake| wake <= now);
        if due {
            state.handle(now, Input::Tick);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Applies changed classes. Waiting requests move to the new gate. The new gate is not told of
    /// requests that the old one admitted, and learns its slots anew.
    fn set_classes(&mut self, now: Moment, classes: &[Class], seed: u64) {
        if self.gate.is_some() && self.classes == classes {
            return;
        }
        let now = self.now.advance(now);
        self.classes = classes.to_vec();
        let random = ChaCha8Rng::seed_from_u64(seed);
        self.gate = Some(Gate::new(classes, random, now));
        let machine = || replay::Machine::Gate { classes: classes.to_vec(), seed };
        self.machine_recorder.record_machine(now, machine);
        self.handle(now, Input::Capacity { slots: self.slots });
        let waiting: Vec<Arrival> =
            self.waiting.values().map(|(arrival, _)| arrival.clone()).collect();
        for arrival in waiting {
            self.handle(now, Input::Arrive(arrival));
        }
    }

    fn handle(&mut self, now: Moment, input: Input) {
        let Some(gate) = &mut self.gate else { return };
        let now = self.now.advance(now);
        self.machine_recorder.record_input(now, || replay::Input::Gate(input.clone()));
        for output in gate.handle(now, input) {
            let (ticket, admission) = match output {
                Output::Refuse { reason, retry_after, ticket } => {
                    (ticket, Admission::Refuse(reason, retry_after))
                }
                Output::Run { ticket } => (ticket, Admission::Admit),
            };
            if let Some((_, sender)) = self.waiting.remove(&ticket) {
                sender.try_send(admission).ok();
            }
        }
    }
}

impl Permit<'_> {
    /// Releases the permit with the outcome of the request.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let mut state = self.queue.lock();
        let now = self.proxy.now();
        let ticket = self.ticket;
        let input = match state.waiting.remove(&ticket) {
            Some(_) => Input::Cancel { ticket },
            None => Input::Finish { outcome, ticket },
        };
        state.handle(now, input);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.end(Outcome::Failed);
    }
}

/// Polls all queues until the process stops, and reports to control the requests that have waited
/// unusually long for an upstream.
pub(crate) async fn poll_queues(proxy: Arc<Proxy>) {
    let mut overdue_at = Moment::ZERO;
    let mut gauges_at = Moment::ZERO;
    while !proxy.done.is_closed() {
        proxy.wait_for_poll(IDLE_POLL_INTERVAL).await;
        let services = proxy.services();
        if services.iter().any(|service| service.queue.len() > 0) {
            task::sleep(POLL_INTERVAL).await;
            proxy.request_poll();
        }
        let now = proxy.now();
        proxy.record_turn(now);
        services.iter().for_each(|service| service.queue.tick(now));
        if now >= overdue_at {
            overdue_at = now + health::Config::TICK;
            services.iter().for_each(|service| report_overdue(&proxy, service));
        }
        if now >= gauges_at {
            gauges_at = now + GAUGE_INTERVAL;
            let in_flight = proxy.in_flight.load(Ordering::Relaxed);
            proxy.metrics.gauge("request.in_flight", in_flight as u64);
            report_gauges(&proxy);
            let lapsed = services.iter().map(|service| service.take_lapsed_trials()).sum();
            proxy.metrics.add("trial.lapsed", lapsed);
            services.iter().for_each(|service| report_retries(&proxy, service));
        }
    }
}

/// Reports gauges of the state that this entry acts on: entries that an
/// equal part of the burst of retries would allow for,
/// ejected upstreams, and upstreams used only as a last resort.
fn report_gauges(proxy: &Proxy) {
    let view = proxy.view.load();
    let services = || view.services.values();
    let is_out = |weight: &&f64| **weight <= 0.0;
    let out = services().map(|service| service.weights.values().filter(is_out).count()).sum();
    let last = services().map(|service| service.suspects.len()).sum();
    let part = services().map(|service| service.retry_part).fold(0.0, f64::max);
    let entries = if part > 0.0 { (1.0 / part).round() as usize } else { 0 };
    let levels = [("retry.entries", entries), ("upstream.out", out), ("upstream.last", last)];
    for (kind, level) in levels {
        let level: usize = level;
        proxy.metrics.gauge(kind, level as u64);
    }
}

/// Logs what a service's retries cost since the last report. Unlike a counter, the line survives the
/// process, so that the retries of all processes that ran in a window can be added up.
fn report_retries(proxy: &Proxy, service: &super::service::Service) {
    let mut policy = service.policy(proxy.now());
    let Usage { burst, denied, firsts, free, paid } = policy.take_usage();
    let left = policy.remaining() as u64;
    drop(policy);
    proxy.metrics.add("retry.denied", denied.into());
    if paid + denied + free > 0 {
        let (service, age_ms) = (&service.name, proxy.now().as_millis() as u64);
        let view = proxy.view.load();
        let part = view.services.get(service).map_or(0.0, |service| service.retry_part);
        tracing::info!(
            target: "hemlockfield::retry",
            %service, firsts, paid, burst, part, free, denied, left, age_ms, "retries"
        );
    }
}

fn report_overdue(proxy: &Proxy, service: &super::service::Service) {
    let overdue = service.overdue(proxy.now());
    let stuck = overdue.iter().map(|(_, ages)| ages.len()).sum();
    service.compensate_stuck(proxy.now(), stuck);
    let now = proxy.now();
    if !overdue.is_empty() {
        proxy.reach.suspect(now, &service.name);
    }
    for (upstream, mut ages) in overdue {
        ages.retain(|age| !proxy.reach.excuses(now, &service.name, *age));
        proxy.try_notify(node::Input::Overdue(service.name.clone(), upstream, ages));
    }
}
