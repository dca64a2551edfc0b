use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Arrival;
use super::Input;
use super::Limit;
use super::Outcome;
use super::Output;
use super::Queue;
use super::Reason;
use super::class_queue::ClassQueue;
use super::duration_class::DurationClass;
use super::key_counts::KeyCounts;
use super::waiter::Running;
use super::waiter::Waiter;
use crate::clock::Moment;
use crate::rule::Class;

/// Shortest retry delay for a refused caller, before jitter: long compared to a burst, short for a
/// person who waits.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest retry delay for a refused caller, before jitter.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Factor on the running time of a request that was cut off at its deadline. Its full service time
/// is unknown but longer than the time it ran. Recorded unchanged, the short times of requests that
/// waited first would make a slow upstream look fast enough for the next ones. Doubling exceeds any
/// deadline within a few rounds.
const LATE_FACTOR: u32 = 2;

/// Admission control for one service in one entry.
#[derive(Clone, Debug)]
pub struct Gate {
    wait_ends: BTreeSet<(Moment, u64)>,
    pub(super) key_counts: KeyCounts,
    pub(super) limit: Limit,
    pub(super) queues: Vec<ClassQueue>,
    pub(super) long: DurationClass,
    /// Highest pass of the classes served so far.
    pass: u64,
    rng: ChaCha8Rng,
    pub(super) running: BTreeMap<u64, Running>,
    pub(super) short: DurationClass,
    pub(super) waiting: BTreeMap<u64, Waiter>,
}

impl Gate {
    /// Creates a gate for `classes`, in order of priority. There must be at least one, which
    /// validated rules guarantee. `rng` jitters the retry delays.
    pub fn new(classes: &[Class], rng: ChaCha8Rng, now: Moment) -> Self {
        Self {
            wait_ends: BTreeSet::new(),
            key_counts: KeyCounts::default(),
            limit: Limit::default(),
            queues: classes.iter().map(|class| ClassQueue::new(class.clone(), now)).collect(),
            long: DurationClass::default(),
            pass: 0,
            rng,
            running: BTreeMap::new(),
            short: DurationClass::default(),
            waiting: BTreeMap::new(),
        }
    }

    /// Handles one input and returns the resulting outputs.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Arrive(arrival) => self.arrive(now, arrival, &mut outputs),
            Input::Cancel { ticket } => drop(self.dequeue(ticket)),
            Input::Capacity { slots } => self.limit.set_slots(slots),
            Input::Finish { outcome, ticket } => self.finish(now, outcome, ticket),
            Input::Tick => {}
        }
        self.expire(now, &mut outputs);
        self.start(now, &mut outputs);
        self.update_detectors(now);
        self.expire(now, &mut outputs);
        outputs
    }

    /// When [`Input::Tick`] is due next; `None` when nothing waits.
    pub fn wake(&self) -> Option<Moment> {
        let wait_end = self.wait_ends.first().map(|end| end.0);
        let excess_end = |queue| Some(self.oldest_excess(queue)?.0 + self.target_wait(queue));
        let first_excess_end = (0..self.queues.len()).filter_map(excess_end).min();
        wait_end.into_iter().chain(first_excess_end).min()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that may run at once.
    pub fn slots(&self) -> usize {
        self.limit.slots()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn arrive(&mut self, now: Moment, arrival: Arrival, outputs: &mut Vec<Output>) {
        let class = |queue: &ClassQueue| queue.class.name == arrival.class;
        let last = self.queues.len().saturating_sub(1);
        let queue = self.queues.iter().position(class).unwrap_or(last);
        self.queues[queue].detector.record_arrival();
        let class_end = now + self.queues[queue].class.wait;
        let until = class_end.min(self.latest_start(&arrival));
        let reason = self.refusal_reason(now, &arrival, queue, until);
        if let Some(reason) = reason {
            outputs.push(self.refuse(arrival.ticket, queue, reason));
            return;
        }
        self.enqueue(Waiter { arrival, arrived: now, queue, until });
    }

    fn enqueue(&mut self, waiter: Waiter) {
        let queue = &mut self.queues[waiter.queue];
        if queue.len() == 0 {
            // A class doesn't accumulate turns while it is idle; it would block the others for as
            // long as it was idle.
            queue.pass = queue.pass.max(self.pass);
        }
        let ticket = waiter.arrival.ticket;
        queue.push(waiter.arrived, ticket, &waiter.arrival.caller);
        self.wait_ends.insert((waiter.until, ticket));
        self.key_counts.add_waiting(waiter.arrival.key.as_ref());
        self.duration_class_mut(waiter.arrival.long).waiting += 1;
        self.waiting.insert(ticket, waiter);
    }

    fn dequeue(&mut self, ticket: u64) -> Option<Waiter> {
        let waiter = self.waiting.remove(&ticket)?;
        self.wait_ends.remove(&(waiter.until, ticket));
        self.key_counts.remove_waiting(waiter.arrival.key.as_ref());
        self.queues[waiter.queue].remove(waiter.arrived, ticket, &waiter.arrival.caller);
        self.duration_class_mut(waiter.arrival.long).waiting -= 1;
        Some(waiter)
    }

    fn finish(&mut self, now: Moment, outcome: Outcome, ticket: u64) {
        let Some(Running { arrival, queue, start }) = self.running.remove(&ticket) else { return };
        let time = now.saturating_sub(start);
        let running = self.running.len() + 1;
        self.queues[queue].record_finish(&arrival.caller);
        self.key_counts.remove_running(arrival.key.as_ref());
        let duration_class = self.duration_class_mut(arrival.long);
        duration_class.running.remove(&(start, ticket));
        let sample = match outcome {
            Outcome::Served => Some(time),
            // An early failure says nothing about the service time and would make a broken upstream
            // look fast.
            Outcome::Failed => (time >= duration_class.service_time.mean()).then_some(time),
            Outcome::Late => Some(time * LATE_FACTOR),
            Outcome::Shed => None,
        };
        if let Some(time) = sample {
            duration_class.service_time.record(time);
        }
        match outcome {
            Outcome::Shed => self.limit.record_shed(),
            _ if sample.is_some() && !arrival.long => self.limit.record(time, running),
            _ => {}
        }
    }

    fn update_detectors(&mut self, now: Moment) {
        for queue in 0..self.queues.len() {
            let service_time = self.expected_service_time(now, queue);
            let slots = self.min_kept(queue);
            let queue = &mut self.queues[queue];
            let waiting = queue.len();
            queue.detector.update(now, waiting, service_time, slots);
        }
    }

    /// Refuses requests that have waited too long.
    fn expire(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some((_, ticket)) = self.wait_ends.first().copied().filter(|end| end.0 <= now) {
            // A probe that has a slot is started by `start` instead of being refused.
            if self.is_only_request(ticket) && self.has_slot(&self.waiting[&ticket].arrival) {
                break;
            }
            self.refuse_expired(now, ticket, outputs);
        }
        for queue in 0..self.queues.len() {
            while let Some((arrived, ticket)) = self.oldest_excess(queue) {
                if arrived + self.target_wait(queue) > now {
                    break;
                }
                if let Some(waiter) = self.dequeue(ticket) {
                    outputs.push(self.refuse(ticket, waiter.queue, Reason::Overload));
                }
            }
        }
    }

    fn refuse_expired(&mut self, now: Moment, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(waiter) = self.dequeue(ticket) else { return };
        let waited = now >= waiter.arrived + self.queues[waiter.queue].class.wait;
        let reason = if waited { Reason::Waited } else { Reason::Late };
        outputs.push(self.refuse(ticket, waiter.queue, reason));
    }

    /// Starts requests while slots are free, by class and caller.
    fn start(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while self.running.len() < self.limit.slots() {
            let Some(ticket) = self.next_ticket() else { return };
            let arrival = &self.waiting[&ticket].arrival;
            let late = self.latest_start(arrival) < now;
            if arrival.deadline <= now || late && !self.is_only_request(ticket) {
                // The service time estimate has changed since the request arrived.
                self.refuse_expired(now, ticket, outputs);
                continue;
            }
            let Some(waiter) = self.dequeue(ticket) else { return };
            self.dispatch(now, waiter);
            outputs.push(Output::Run { ticket });
        }
    }

    fn next_ticket(&self) -> Option<u64> {
        let mut order: Vec<usize> = (0..self.queues.len()).collect();
        order.sort_by_key(|queue| self.queues[*queue].pass);
        let fits = |ticket: u64| self.has_slot(&self.waiting[&ticket].arrival);
        order.into_iter().find_map(|queue| self.queues[queue].pick(fits))
    }

    fn dispatch(&mut self, now: Moment, waiter: Waiter) {
        let Waiter { arrival, queue, .. } = waiter;
        let duration_class = self.duration_class_mut(arrival.long);
        duration_class.running.insert((now, arrival.ticket));
        let cost = duration_class.service_time.mean();
        self.pass = self.pass.max(self.queues[queue].pass);
        self.queues[queue].charge(cost);
        self.queues[queue].record_start(&arrival.caller);
        self.queues[queue].detector.record_start();
        self.key_counts.add_running(arrival.key.as_ref());
        self.running.insert(arrival.ticket, Running { arrival, queue, start: now });
    }

    fn refuse(&mut self, ticket: u64, queue: usize, reason: Reason) -> Output {
        let detector = &mut self.queues[queue].detector;
        if reason != Reason::Late {
            detector.record_refusal();
        }
        let retry_after =
            RETRY_AFTER_MIN.mul_f64(detector.load_ratio().clamp(1.0, 16.0)).min(RETRY_AFTER_MAX);
        // Without jitter, callers that were refused together would return together.
        let retry_after = retry_after.mul_f64(self.rng.random_range(0.5..1.5));
        Output::Refuse { reason, retry_after, ticket }
    }

    fn duration_class_mut(&mut self, long: bool) -> &mut DurationClass {
        if long { &mut self.long } else { &mut self.short }
    }
}

impl Queue for Gate {
    fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        self.handle(now, input)
    }

    fn wake(&self) -> Option<Moment> {
        self.wake()
    }
}
