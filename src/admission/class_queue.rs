use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::overload_detector::OverloadDetector;
use crate::clock::Moment;
use crate::id::CallerId;
use crate::rule::Class;

/// Waiting requests of one class, scheduled fairly among callers.
///
/// The next request comes from the caller with the fewest running requests; ties go to the caller
/// whose last turn was longest ago. Slots are thus shared evenly among callers, however many
/// requests each sends. A single queue would share them by requests, and a hot caller would get
/// nearly all.
#[derive(Clone, Debug)]
pub(super) struct ClassQueue {
    /// The configured class.
    pub(super) class: Class,
    /// Stride scheduling pass: slot time that the class has used, divided by its weight.
    pub(super) pass: u64,
    /// Detects whether the queue of the class is standing.
    pub(super) detector: OverloadDetector,
    arrivals: BTreeSet<(Moment, u64)>,
    order: BTreeSet<(usize, u64, CallerId)>,
    running: BTreeMap<CallerId, usize>,
    turn: u64,
    waiting: BTreeMap<CallerId, Waiting>,
}

/// Waiting requests of one caller, in the order of arrival.
#[derive(Clone, Debug)]
struct Waiting {
    tickets: VecDeque<u64>,
    turn: u64,
}

impl ClassQueue {
    pub(super) fn new(class: Class, now: Moment) -> Self {
        Self {
            arrivals: BTreeSet::new(),
            class,
            order: BTreeSet::new(),
            pass: 0,
            running: BTreeMap::new(),
            detector: OverloadDetector::new(now),
            turn: 0,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds a waiting request.
    pub(super) fn push(&mut self, now: Moment, ticket: u64, caller: &CallerId) {
        self.arrivals.insert((now, ticket));
        if let Some(waiting) = self.waiting.get_mut(caller) {
            waiting.tickets.push_back(ticket);
            return;
        }
        self.turn += 1;
        let waiting = Waiting { tickets: VecDeque::from([ticket]), turn: self.turn };
        self.order.insert((self.running_count(caller), self.turn, caller.clone()));
        self.waiting.insert(caller.clone(), waiting);
    }

    /// Returns the first waiting request in turn order for which `fits` holds.
    pub(super) fn pick(&self, fits: impl Fn(u64) -> bool) -> Option<u64> {
        let callers = self.order.iter().filter_map(|entry| self.waiting.get(&entry.2));
        let mut tickets = callers.flat_map(|waiting| waiting.tickets.iter().copied());
        tickets.find(|ticket| fits(*ticket))
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, arrived: Moment, ticket: u64, caller: &CallerId) {
        self.arrivals.remove(&(arrived, ticket));
        let Some(waiting) = self.waiting.get_mut(caller) else { return };
        waiting.tickets.retain(|other| *other != ticket);
        if waiting.tickets.is_empty() {
            let turn = waiting.turn;
            self.order.remove(&(self.running_count(caller), turn, caller.clone()));
            self.waiting.remove(caller);
        }
    }

    /// Records that a request of `caller` started. The caller goes last among those with as many
    /// running requests.
    pub(super) fn record_start(&mut self, caller: &CallerId) {
        self.turn += 1;
        let turn = self.turn;
        self.reorder(caller, Some(turn), |count| count + 1);
    }

    /// Records that a request of `caller` ended.
    pub(super) fn record_finish(&mut self, caller: &CallerId) {
        self.reorder(caller, None, |count| count.saturating_sub(1));
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Number of callers with waiting requests, and number of waiting requests of `caller`.
    pub(super) fn waiting_counts(&self, caller: &CallerId) -> (usize, usize) {
        let own = self.waiting.get(caller).map_or(0, |waiting| waiting.tickets.len());
        (self.waiting.len(), own)
    }

    /// Whether `caller` has fewer running requests than every caller with waiting requests.
    pub(super) fn is_next(&self, caller: &CallerId) -> bool {
        self.order.first().is_none_or(|entry| self.running_count(caller) < entry.0)
    }

    /// Arrival time and ticket of the request that has waited longest.
    pub(super) fn oldest(&self) -> Option<(Moment, u64)> {
        self.arrivals.first().copied()
    }

    /// Adds `time` in a slot to the pass of the class.
    pub(super) fn charge(&mut self, time: Duration) {
        self.pass += time.as_nanos() as u64 / self.class.weight.max(1) as u64;
    }

    fn running_count(&self, caller: &CallerId) -> usize {
        self.running.get(caller).copied().unwrap_or(0)
    }

    fn reorder(&mut self, caller: &CallerId, turn: Option<u64>, change: impl Fn(usize) -> usize) {
        let before = self.running_count(caller);
        let after = change(before);
        match after {
            0 => self.running.remove(caller),
            count => self.running.insert(caller.clone(), count),
        };
        let Some(waiting) = self.waiting.get_mut(caller) else { return };
        self.order.remove(&(before, waiting.turn, caller.clone()));
        waiting.turn = turn.unwrap_or(waiting.turn);
        self.order.insert((after, waiting.turn, caller.clone()));
    }
}
