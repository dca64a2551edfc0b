use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::standing::Standing;
use crate::clock::Moment;
use crate::id::CallerId;
use crate::rule::Class;

/// Requests of one class, with turns by caller.
///
/// The next turn goes to the caller with the fewest running requests, and
/// among those alike to the one whose last turn is longest ago: slots are
/// shared evenly by callers, however many requests each sends. In one queue
/// they would be shared by requests, and a hot caller would get nearly all.
#[derive(Clone, Debug)]
pub(super) struct Line {
    /// What rules say about the class.
    pub(super) class: Class,
    /// Slot time that the class has had, divided by its weight.
    pub(super) pass: u64,
    /// Whether its queue stands.
    pub(super) standing: Standing,
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

impl Line {
    pub(super) fn new(class: Class, now: Moment) -> Self {
        Self {
            arrivals: BTreeSet::new(),
            class,
            order: BTreeSet::new(),
            pass: 0,
            running: BTreeMap::new(),
            standing: Standing::new(now),
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
        self.order.insert((self.runs(caller), self.turn, caller.clone()));
        self.waiting.insert(caller.clone(), waiting);
    }

    /// First waiting request, by turns, that `fits`.
    pub(super) fn pick(&self, fits: impl Fn(u64) -> bool) -> Option<u64> {
        let callers = self.order.iter().filter_map(|entry| self.waiting.get(&entry.2));
        let mut tickets = callers.flat_map(|waiting| waiting.tickets.iter().copied());
        tickets.find(|ticket| fits(*ticket))
    }

    /// Takes a waiting request out.
    pub(super) fn remove(&mut self, arrived: Moment, ticket: u64, caller: &CallerId) {
        self.arrivals.remove(&(arrived, ticket));
        let Some(waiting) = self.waiting.get_mut(caller) else { return };
        waiting.tickets.retain(|other| *other != ticket);
        if waiting.tickets.is_empty() {
            let turn = waiting.turn;
            self.order.remove(&(self.runs(caller), turn, caller.clone()));
            self.waiting.remove(caller);
        }
    }

    /// Notes that a request of `caller` was started; the caller goes last
    /// among those with as many running.
    pub(super) fn start(&mut self, caller: &CallerId) {
        self.turn += 1;
        let turn = self.turn;
        self.reorder(caller, Some(turn), |runs| runs + 1);
    }

    /// Notes that a request of `caller` has ended.
    pub(super) fn finish(&mut self, caller: &CallerId) {
        self.reorder(caller, None, |runs| runs.saturating_sub(1));
    }

    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Callers of which a request waits, and requests of `caller` that wait.
    pub(super) fn crowd(&self, caller: &CallerId) -> (usize, usize) {
        let own = self.waiting.get(caller).map_or(0, |waiting| waiting.tickets.len());
        (self.waiting.len(), own)
    }

    /// Whether `caller` has fewer running requests than every caller that waits.
    pub(super) fn is_next(&self, caller: &CallerId) -> bool {
        self.order.first().is_none_or(|entry| self.runs(caller) < entry.0)
    }

    /// Request that has waited longest, and since when.
    pub(super) fn oldest(&self) -> Option<(Moment, u64)> {
        self.arrivals.first().copied()
    }

    /// Charges `time` of a slot.
    pub(super) fn charge(&mut self, time: Duration) {
        self.pass += time.as_nanos() as u64 / self.class.weight.max(1) as u64;
    }

    fn runs(&self, caller: &CallerId) -> usize {
        self.running.get(caller).copied().unwrap_or(0)
    }

    fn reorder(&mut self, caller: &CallerId, turn: Option<u64>, change: impl Fn(usize) -> usize) {
        let before = self.runs(caller);
        let after = change(before);
        match after {
            0 => self.running.remove(caller),
            runs => self.running.insert(caller.clone(), runs),
        };
        let Some(waiting) = self.waiting.get_mut(caller) else { return };
        self.order.remove(&(before, waiting.turn, caller.clone()));
        waiting.turn = turn.unwrap_or(waiting.turn);
        self.order.insert((after, waiting.turn, caller.clone()));
    }
}
