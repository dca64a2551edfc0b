use std::time::Duration;

use super::Arrival;
use super::Gate;
use super::Reason;
use super::kind::Kind;
use crate::clock::Moment;

/// Share of the slots that long jobs may hold: lookups keep the other half,
/// and uploads, of which there are few, still get several slots at once.
const LONG_SHARE: usize = 2;
/// The same where slots are learned: they may be twice those there are while
/// they are being found, and half of that would be all there is.
const LONG_SHARE_LEARNED: usize = 4;
/// Share of the slots that requests about one key may hold, for the same
/// reason: behind a locked record they would fill every slot.
const KEY_SHARE: usize = 2;
/// Most requests that wait, whatever the estimates say: a bound on memory, far
/// above what is served within the longest wait.
const MOST_WAITING: usize = 4096;
/// Least wait that is kept before a standing queue; below it, timers decide.
const TARGET: Duration = Duration::from_millis(5);

/// What a gate expects of the near future, and what it leaves room for.
impl Gate {
    /// Last moment at which it may be started to end in time.
    pub(super) fn latest(&self, arrival: &Arrival) -> Moment {
        arrival.deadline.saturating_sub(self.kind(arrival.long).pace.least())
    }

    /// Why a request is refused on arrival.
    pub(super) fn objection(
        &self,
        now: Moment,
        arrival: &Arrival,
        line: usize,
        until: Moment,
    ) -> Option<Reason> {
        if arrival.deadline <= now || self.latest(arrival) <= now && !self.is_trial(arrival.long) {
            return Some(Reason::Late);
        }
        if self.has_room(arrival) {
            // Whoever waits now may not hold the slot that is free.
            return None;
        }
        if self.keys.waiting(arrival.key.as_ref()) >= self.key_room() {
            // They wait for each other and not for a slot, and would make the
            // queue of everyone else look as if it stood.
            return Some(Reason::Full);
        }
        let wait = self.forecast(now, arrival, line);
        let stands = self.lines[line].standing.stands();
        if stands && self.lines[line].len() >= self.kept(line) && wait > self.target(line) {
            return Some(Reason::Overload);
        }
        let full = self.waiting.len() >= MOST_WAITING || now + wait > until;
        (full && !self.is_trial(arrival.long)).then_some(Reason::Full)
    }

    /// Whether nothing of the kind runs or waits: then one request is let
    /// through against the estimate, which otherwise could never be mended
    /// after a slow upstream has become fast again.
    pub(super) fn is_trial(&self, long: bool) -> bool {
        let kind = self.kind(long);
        kind.running.is_empty() && kind.waiting == 0
    }

    /// Wait that a newcomer can expect: its turns among the callers of its
    /// class, times the share of its class, at the pace of its kind.
    pub(super) fn forecast(&self, now: Moment, arrival: &Arrival, line: usize) -> Duration {
        let this = &self.lines[line];
        let (callers, own) = this.crowd(&arrival.caller);
        let callers = callers + usize::from(own == 0);
        let turns = match this.is_next(&arrival.caller) {
            true => 1,
            false => (own + 1) * callers,
        };
        let kind = self.kind(arrival.long);
        let turns = turns.min(this.len() + 1).min(kind.waiting + 1);
        let rivals = self.lines.iter().enumerate();
        let rivals = rivals.filter(|(place, other)| *place == line || other.len() > 0);
        let weights: usize = rivals.map(|(_, other)| other.class.weight).sum();
        let share = weights as f64 / this.class.weight.max(1) as f64;
        let slots = self.room(arrival.long).max(1) as f64;
        kind.service(now).mul_f64(turns as f64 * share / slots)
    }

    pub(super) fn is_alone(&self, ticket: u64) -> bool {
        let Some(waiter) = self.waiting.get(&ticket) else { return false };
        let kind = self.kind(waiter.arrival.long);
        kind.running.is_empty() && kind.waiting == 1
    }

    /// Whether a slot is free that `arrival` may hold.
    pub(super) fn has_room(&self, arrival: &Arrival) -> bool {
        let slots = self.limit.slots();
        let key = self.keys.running(arrival.key.as_ref());
        self.running.len() < slots
            && self.kind(arrival.long).running.len() < self.room(arrival.long)
            && key < self.key_room()
    }

    /// Slots that requests about one key may hold together; as many may wait.
    fn key_room(&self) -> usize {
        (self.limit.slots() / KEY_SHARE).max(1)
    }

    /// Slots that requests of the kind may hold together.
    pub(super) fn room(&self, long: bool) -> usize {
        let slots = self.limit.slots();
        let share = if self.limit.is_learned() { LONG_SHARE_LEARNED } else { LONG_SHARE };
        if long { (slots / share).max(1) } else { slots }
    }

    /// Wait that is kept before a standing queue: one service time, so that a
    /// slot that becomes free always finds a request.
    pub(super) fn target(&self, line: usize) -> Duration {
        TARGET.max(self.leader(line).pace.mean())
    }

    /// Requests that wait in a class and are kept although its queue stands: one
    /// for each slot. By time alone, one long request before a single slot would
    /// have everyone refused, and the slot would then wait for the next arrival.
    pub(super) fn kept(&self, line: usize) -> usize {
        let oldest = self.lines[line].oldest().and_then(|oldest| self.waiting.get(&oldest.1));
        self.room(oldest.is_some_and(|waiter| waiter.arrival.long))
    }

    /// Request that has waited longest, where it is one too many.
    pub(super) fn excess(&self, line: usize) -> Option<(Moment, u64)> {
        let this = &self.lines[line];
        let excess = this.standing.stands() && this.len() > self.kept(line);
        excess.then(|| this.oldest()).flatten()
    }

    /// Time that the requests of a class can be expected to take.
    pub(super) fn service(&self, now: Moment, line: usize) -> Duration {
        self.leader(line).service(now)
    }

    /// Kind of the request that has waited longest. A class of uploads is so
    /// judged by the time of uploads; by that of lookups, its queue would seem
    /// to stand after each burst.
    fn leader(&self, line: usize) -> &Kind {
        let oldest = self.lines[line].oldest().and_then(|oldest| self.waiting.get(&oldest.1));
        self.kind(oldest.is_some_and(|waiter| waiter.arrival.long))
    }

    pub(super) fn kind(&self, long: bool) -> &Kind {
        if long { &self.long } else { &self.short }
    }
}
