use std::time::Duration;

use super::Arrival;
use super::Gate;
use super::Reason;
use super::duration_class::DurationClass;
use crate::clock::Moment;

/// Long jobs may hold one slot in this many. Lookups keep the other half, and uploads, which are
/// few, still run several at once.
const LONG_SLOTS_DIVISOR: usize = 2;
/// Divisor for long jobs while the slots are learned. The learned limit may temporarily be twice
/// the actual number of slots, so half of it would be all of them.
const LONG_SLOTS_DIVISOR_LEARNED: usize = 4;
/// Requests about one key may hold one slot in this many. Requests that wait for one locked record
/// would otherwise fill every slot.
const KEY_SLOTS_DIVISOR: usize = 2;
/// Upper bound on waiting requests, to limit memory. It is far above what can be served within the
/// longest wait.
const WAITING_MAX: usize = 4096;
/// Minimum target wait. Below it, timer resolution dominates.
const TARGET_WAIT_MIN: Duration = Duration::from_millis(5);

/// Estimates of waits and service times, and the limits derived from them.
impl Gate {
    /// Latest time at which the request can start and still finish by its deadline.
    pub(super) fn latest_start(&self, arrival: &Arrival) -> Moment {
        arrival
            .deadline
            .saturating_sub(self.duration_class(arrival.long).service_time.lower_quartile())
    }

    /// Why the request must be refused on arrival, or `None` if it may wait.
    pub(super) fn refusal_reason(
        &self,
        now: Moment,
        arrival: &Arrival,
        queue: usize,
        until: Moment,
    ) -> Option<Reason> {
        if arrival.deadline <= now
            || self.latest_start(arrival) <= now && !self.is_probe(arrival.long)
        {
            return Some(Reason::Late);
        }
        if self.has_slot(arrival) {
            // The waiting requests may not be allowed to use the free slot.
            return None;
        }
        if self.key_counts.waiting(arrival.key.as_ref()) >= self.key_slots() {
            // These requests wait for each other rather than for a slot, and would make the whole
            // queue look like a standing one.
            return Some(Reason::Full);
        }
        let wait = self.expected_wait(now, arrival, queue);
        let is_overloaded = self.queues[queue].detector.is_overloaded();
        if is_overloaded
            && self.queues[queue].len() >= self.min_kept(queue)
            && wait > self.target_wait(queue)
        {
            return Some(Reason::Overload);
        }
        let full = self.waiting.len() >= WAITING_MAX || now + wait > until;
        (full && !self.is_probe(arrival.long)).then_some(Reason::Full)
    }

    /// Whether no request of this duration class runs or waits. One request is then admitted
    /// despite the estimate, which could otherwise never recover after a slow upstream becomes fast
    /// again.
    pub(super) fn is_probe(&self, long: bool) -> bool {
        let duration_class = self.duration_class(long);
        duration_class.running.is_empty() && duration_class.waiting == 0
    }

    /// Expected wait of a new request: its turns among the callers of its class, divided by the
    /// share of slots of the class, times the service time.
    pub(super) fn expected_wait(&self, now: Moment, arrival: &Arrival, queue: usize) -> Duration {
        let class_queue = &self.queues[queue];
        let (callers, own) = class_queue.waiting_counts(&arrival.caller);
        let callers = callers + usize::from(own == 0);
        let turns = match class_queue.is_next(&arrival.caller) {
            true => 1,
            false => (own + 1) * callers,
        };
        let duration_class = self.duration_class(arrival.long);
        let turns = turns.min(class_queue.len() + 1).min(duration_class.waiting + 1);
        let contenders = self.queues.iter().enumerate();
        let contenders = contenders.filter(|(index, other)| *index == queue || other.len() > 0);
        let weights: usize = contenders.map(|(_, other)| other.class.weight).sum();
        let share = weights as f64 / class_queue.class.weight.max(1) as f64;
        let slots = self.slots_for(arrival.long).max(1) as f64;
        duration_class.expected_service_time(now).mul_f64(turns as f64 * share / slots)
    }

    pub(super) fn is_only_request(&self, ticket: u64) -> bool {
        let Some(waiter) = self.waiting.get(&ticket) else { return false };
        let duration_class = self.duration_class(waiter.arrival.long);
        duration_class.running.is_empty() && duration_class.waiting == 1
    }

    /// Whether a slot is free that `arrival` is allowed to use.
    pub(super) fn has_slot(&self, arrival: &Arrival) -> bool {
        let slots = self.limit.slots();
        let key = self.key_counts.running(arrival.key.as_ref());
        self.running.len() < slots
            && self.duration_class(arrival.long).running.len() < self.slots_for(arrival.long)
            && key < self.key_slots()
    }

    /// Number of slots that requests about one key may hold together. As many may wait.
    fn key_slots(&self) -> usize {
        (self.limit.slots() / KEY_SLOTS_DIVISOR).max(1)
    }

    /// Number of slots that short requests, or long ones, may hold together.
    pub(super) fn slots_for(&self, long: bool) -> usize {
        let slots = self.limit.slots();
        let divisor =
            if self.limit.is_learned() { LONG_SLOTS_DIVISOR_LEARNED } else { LONG_SLOTS_DIVISOR };
        if long { (slots / divisor).max(1) } else { slots }
    }

    /// Wait to which a standing queue is cut: one service time, so that a freed slot always finds a
    /// waiting request.
    pub(super) fn target_wait(&self, queue: usize) -> Duration {
        TARGET_WAIT_MIN.max(self.oldest_duration_class(queue).service_time.mean())
    }

    /// Number of waiting requests of a class that are kept even if its queue is standing: one per
    /// slot. Cutting by time alone, one long request in front of a single slot would get everyone
    /// refused, and the slot would then idle until the next arrival.
    pub(super) fn min_kept(&self, queue: usize) -> usize {
        let oldest = self.queues[queue].oldest().and_then(|oldest| self.waiting.get(&oldest.1));
        self.slots_for(oldest.is_some_and(|waiter| waiter.arrival.long))
    }

    /// Oldest waiting request, if the queue is standing and holds more than it may keep.
    pub(super) fn oldest_excess(&self, queue: usize) -> Option<(Moment, u64)> {
        let class_queue = &self.queues[queue];
        let excess =
            class_queue.detector.is_overloaded() && class_queue.len() > self.min_kept(queue);
        excess.then(|| class_queue.oldest()).flatten()
    }

    /// Expected service time of the requests of a class.
    pub(super) fn expected_service_time(&self, now: Moment, queue: usize) -> Duration {
        self.oldest_duration_class(queue).expected_service_time(now)
    }

    /// Duration class of the request that has waited longest. A class of uploads is thus measured
    /// by the service time of uploads; by that of lookups, its queue would look like a standing one
    /// after each burst.
    fn oldest_duration_class(&self, queue: usize) -> &DurationClass {
        let oldest = self.queues[queue].oldest().and_then(|oldest| self.waiting.get(&oldest.1));
        self.duration_class(oldest.is_some_and(|waiter| waiter.arrival.long))
    }

    pub(super) fn duration_class(&self, long: bool) -> &DurationClass {
        if long { &self.long } else { &self.short }
    }
}
