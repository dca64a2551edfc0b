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
use crate::clock::Moment;
use crate::health;
use crate::node;
use crate::replay;
use crate::replay::Tape;
use crate::rule::Class;

use super::Shared;

/// Time between two looks at the queues: the least wait that a gate tells apart.
const TICK: Duration = Duration::from_millis(5);
/// Time between two reports of gauges.
const GAUGES: Duration = Duration::from_secs(1);
/// Longest time between two looks, where nothing waits: as often as a judge looks, and a
/// fiftieth of what a look every 5 ms costs an idle process.
const IDLE: Duration = health::Config::TICK;

/// The gate of one service, and those that wait before it.
pub(in crate::node) struct Queue {
    seed: u64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    classes: Vec<Class>,
    gate: Option<Gate>,
    slots: Option<usize>,
    tape: Tape,
    waiting: BTreeMap<u64, (Arrival, Sender<Turn>)>,
}

/// What became of a request that wanted its turn.
#[derive(Clone, Debug)]
pub(super) enum Turn {
    /// Answer it now, as not run.
    Refuse(Reason, Duration),
    /// Send it to an upstream now.
    Run,
}

/// A turn in use; it ends as failed where nobody says otherwise.
pub(super) struct Permit<'a> {
    ended: bool,
    queue: &'a Queue,
    shared: &'a Shared,
    ticket: u64,
}

impl Queue {
    pub(super) fn new(seed: u64, tape: Tape) -> Self {
        Self { seed, state: Mutex::new(State { tape, ..State::default() }) }
    }

    /// Requests that wait.
    pub(in crate::node) fn len(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Waits for a turn. Given up by its caller, the request leaves the queue.
    pub(super) async fn enter<'a>(
        &'a self,
        shared: &'a Shared,
        classes: &[Class],
        arrival: Arrival,
    ) -> (Turn, Permit<'a>) {
        let (sender, receiver) = bounded(1);
        let permit = Permit { ended: false, queue: self, shared, ticket: arrival.ticket };
        {
            let mut state = self.lock();
            let now = shared.now();
            state.use_classes(now, classes, self.seed);
            state.waiting.insert(arrival.ticket, (arrival.clone(), sender));
            state.handle(now, Input::Arrive(arrival));
            if !state.waiting.is_empty() {
                shared.look_soon();
            }
        }
        let turn = receiver.recv().await;
        let closed = Turn::Refuse(Reason::Overload, Duration::from_secs(1));
        (turn.unwrap_or(closed), permit)
    }

    /// Sets how many requests may run at a time.
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
    /// Takes over changed classes: who waits is moved to the new gate. What runs under
    /// the old one ends unnoticed there, and the new one learns its slots anew.
    fn use_classes(&mut self, now: Moment, classes: &[Class], seed: u64) {
        if self.gate.is_some() && self.classes == classes {
            return;
        }
        self.classes = classes.to_vec();
        let random = ChaCha8Rng::seed_from_u64(seed);
        self.gate = Some(Gate::new(classes, random, now));
        let made = || replay::Machine::Gate { classes: classes.to_vec(), seed };
        self.tape.machine(now, made);
        self.handle(now, Input::Capacity { slots: self.slots });
        let waiting: Vec<Arrival> =
            self.waiting.values().map(|(arrival, _)| arrival.clone()).collect();
        for arrival in waiting {
            self.handle(now, Input::Arrive(arrival));
        }
    }

    fn handle(&mut self, now: Moment, input: Input) {
        let Some(gate) = &mut self.gate else { return };
        self.tape.input(now, || replay::Input::Gate(input.clone()));
        for output in gate.handle(now, input) {
            let (ticket, turn) = match output {
                Output::Refuse { reason, retry_after, ticket } => {
                    (ticket, Turn::Refuse(reason, retry_after))
                }
                Output::Run { ticket } => (ticket, Turn::Run),
            };
            if let Some((_, sender)) = self.waiting.remove(&ticket) {
                sender.try_send(turn).ok();
            }
        }
    }
}

impl Permit<'_> {
    /// Ends the turn.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: Outcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let mut state = self.queue.lock();
        let now = self.shared.now();
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

/// Looks at all queues for as long as the process serves, and tells control what waits
/// unusually long at an upstream.
pub(in crate::node) async fn tick(shared: Arc<Shared>) {
    let mut overdue_at = Moment::ZERO;
    let mut gauges_at = Moment::ZERO;
    while !shared.done.is_closed() {
        shared.wait_for_look(IDLE).await;
        let services = shared.services();
        if services.iter().any(|service| service.queue.len() > 0) {
            task::sleep(TICK).await;
            shared.look_soon();
        }
        let now = shared.now();
        services.iter().for_each(|service| service.queue.tick(now));
        if now >= overdue_at {
            overdue_at = now + health::Config::TICK;
            services.iter().for_each(|service| tell_overdue(&shared, service));
        }
        if now >= gauges_at {
            gauges_at = now + GAUGES;
            let in_flight = shared.in_flight.load(Ordering::Relaxed);
            shared.metrics.gauge("request.in_flight", in_flight as u64);
            tell_levels(&shared);
        }
    }
}

/// Tells what this entry goes by: entries that share the retry budget with it, upstreams that
/// are out, and those that get work only where no other has room.
fn tell_levels(shared: &Shared) {
    let view = shared.view.load();
    let services = || view.services.values();
    let is_out = |weight: &&f64| **weight <= 0.0;
    let out = services().map(|service| service.weights.values().filter(is_out).count()).sum();
    let last = services().map(|service| service.suspects.len()).sum();
    let entries = services().filter_map(|service| service.sharing).max().unwrap_or_default();
    let levels = [("retry.entries", entries), ("upstream.out", out), ("upstream.last", last)];
    for (kind, level) in levels {
        let level: usize = level;
        shared.metrics.gauge(kind, level as u64);
    }
}

fn tell_overdue(shared: &Shared, service: &super::service::Service) {
    let overdue = service.overdue(shared.now());
    let stuck = overdue.iter().map(|(_, ages)| ages.len()).sum();
    service.make_up_for(shared.now(), stuck);
    for (upstream, ages) in overdue {
        shared.tell(node::Input::Overdue(service.name.clone(), upstream, ages));
    }
}
