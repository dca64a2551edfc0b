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
use super::keys::Keys;
use super::kind::Kind;
use super::line::Line;
use super::waiter::Running;
use super::waiter::Waiter;
use crate::clock::Moment;
use crate::rule::Class;

/// Shortest time after which a refused caller is asked back: long against a
/// burst, short for a person who waits.
const BACK: Duration = Duration::from_secs(1);
/// Longest such time.
const BACK_MOST: Duration = Duration::from_secs(30);

/// By how much a request that was cut counts as longer than it ran. It would
/// have taken longer, nobody knows how much; taken as it is, requests that
/// waited and were then cut would make a slow upstream look fast enough for
/// the next ones. Doubling passes any deadline within a few rounds.
const CUT: u32 = 2;

/// Decides for one service in one entry.
#[derive(Clone, Debug)]
pub struct Gate {
    ends: BTreeSet<(Moment, u64)>,
    pub(super) keys: Keys,
    pub(super) limit: Limit,
    pub(super) lines: Vec<Line>,
    pub(super) long: Kind,
    /// Pass of the class that was served last.
    pass: u64,
    rng: ChaCha8Rng,
    pub(super) running: BTreeMap<u64, Running>,
    pub(super) short: Kind,
    pub(super) waiting: BTreeMap<u64, Waiter>,
}

impl Gate {
    /// Makes a gate for `classes`, in the order of their priority; there must
    /// be one at least, as checked rules have. `rng` jitters when to come back.
    pub fn new(classes: &[Class], rng: ChaCha8Rng, now: Moment) -> Self {
        Self {
            ends: BTreeSet::new(),
            keys: Keys::default(),
            limit: Limit::default(),
            lines: classes.iter().map(|class| Line::new(class.clone(), now)).collect(),
            long: Kind::default(),
            pass: 0,
            rng,
            running: BTreeMap::new(),
            short: Kind::default(),
            waiting: BTreeMap::new(),
        }
    }

    /// Takes one input and gives what follows from it.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Arrive(arrival) => self.arrive(now, arrival, &mut outputs),
            Input::Cancel { ticket } => drop(self.leave(ticket)),
            Input::Capacity { slots } => self.limit.give(slots),
            Input::Finish { outcome, ticket } => self.finish(now, outcome, ticket),
            Input::Tick => {}
        }
        self.expire(now, &mut outputs);
        self.start(now, &mut outputs);
        self.judge(now);
        self.expire(now, &mut outputs);
        outputs
    }

    /// When [`Input::Tick`] is due next; `None` when nothing waits.
    pub fn wake(&self) -> Option<Moment> {
        let ends = self.ends.first().map(|end| end.0);
        let excess = |line| Some(self.excess(line)?.0 + self.target(line));
        let oldest = (0..self.lines.len()).filter_map(excess).min();
        ends.into_iter().chain(oldest).min()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that may run at once.
    pub fn slots(&self) -> usize {
        self.limit.slots()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn arrive(&mut self, now: Moment, arrival: Arrival, outputs: &mut Vec<Output>) {
        let class = |line: &Line| line.class.name == arrival.class;
        let last = self.lines.len().saturating_sub(1);
        let line = self.lines.iter().position(class).unwrap_or(last);
        self.lines[line].standing.arrive();
        let most = now + self.lines[line].class.wait;
        let until = most.min(self.latest(&arrival));
        let reason = self.objection(now, &arrival, line, until);
        if let Some(reason) = reason {
            outputs.push(self.refuse(arrival.ticket, line, reason));
            return;
        }
        self.enter(Waiter { arrival, arrived: now, line, until });
    }

    fn enter(&mut self, waiter: Waiter) {
        let line = &mut self.lines[waiter.line];
        if line.len() == 0 {
            // A class that was idle saves up no turns: it would shut out the
            // others for as long as it was away.
            line.pass = line.pass.max(self.pass);
        }
        let ticket = waiter.arrival.ticket;
        line.push(waiter.arrived, ticket, &waiter.arrival.caller);
        self.ends.insert((waiter.until, ticket));
        self.keys.enter(waiter.arrival.key.as_ref());
        self.kind_mut(waiter.arrival.long).waiting += 1;
        self.waiting.insert(ticket, waiter);
    }

    fn leave(&mut self, ticket: u64) -> Option<Waiter> {
        let waiter = self.waiting.remove(&ticket)?;
        self.ends.remove(&(waiter.until, ticket));
        self.keys.leave(waiter.arrival.key.as_ref());
        self.lines[waiter.line].remove(waiter.arrived, ticket, &waiter.arrival.caller);
        self.kind_mut(waiter.arrival.long).waiting -= 1;
        Some(waiter)
    }

    fn finish(&mut self, now: Moment, outcome: Outcome, ticket: u64) {
        let Some(Running { arrival, line, since }) = self.running.remove(&ticket) else { return };
        let time = now.saturating_sub(since);
        let running = self.running.len() + 1;
        self.lines[line].finish(&arrival.caller);
        self.keys.finish(arrival.key.as_ref());
        let kind = self.kind_mut(arrival.long);
        kind.running.remove(&(since, ticket));
        let tells = match outcome {
            Outcome::Served => Some(time),
            // An early failure tells nothing about how long the work takes, and
            // would make a broken upstream look fast.
            Outcome::Failed => (time >= kind.pace.mean()).then_some(time),
            Outcome::Late => Some(time * CUT),
            Outcome::Shed => None,
        };
        if let Some(time) = tells {
            kind.pace.note(time);
        }
        match outcome {
            Outcome::Shed => self.limit.shed(),
            _ if tells.is_some() && !arrival.long => self.limit.note(time, running),
            _ => {}
        }
    }

    fn judge(&mut self, now: Moment) {
        for line in 0..self.lines.len() {
            let service = self.service(now, line);
            let slots = self.kept(line);
            let line = &mut self.lines[line];
            let waiting = line.len();
            line.standing.judge(now, waiting, service, slots);
        }
    }

    /// Refuses what has waited too long, each at its moment.
    fn expire(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some((_, ticket)) = self.ends.first().copied().filter(|end| end.0 <= now) {
            // A trial waits for nothing, so it is started below and not refused.
            if self.is_alone(ticket) && self.has_room(&self.waiting[&ticket].arrival) {
                break;
            }
            self.give_up(now, ticket, outputs);
        }
        for line in 0..self.lines.len() {
            while let Some((arrived, ticket)) = self.excess(line) {
                if arrived + self.target(line) > now {
                    break;
                }
                if let Some(waiter) = self.leave(ticket) {
                    outputs.push(self.refuse(ticket, waiter.line, Reason::Overload));
                }
            }
        }
    }

    fn give_up(&mut self, now: Moment, ticket: u64, outputs: &mut Vec<Output>) {
        let Some(waiter) = self.leave(ticket) else { return };
        let waited = now >= waiter.arrived + self.lines[waiter.line].class.wait;
        let reason = if waited { Reason::Waited } else { Reason::Late };
        outputs.push(self.refuse(ticket, waiter.line, reason));
    }

    /// Starts what the slots allow, by class and caller.
    fn start(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while self.running.len() < self.limit.slots() {
            let Some(ticket) = self.next() else { return };
            let arrival = &self.waiting[&ticket].arrival;
            let late = self.latest(arrival) < now;
            if arrival.deadline <= now || late && !self.is_alone(ticket) {
                // The pace has changed since it came.
                self.give_up(now, ticket, outputs);
                continue;
            }
            let Some(waiter) = self.leave(ticket) else { return };
            self.run(now, waiter);
            outputs.push(Output::Run { ticket });
        }
    }

    fn next(&self) -> Option<u64> {
        let mut order: Vec<usize> = (0..self.lines.len()).collect();
        order.sort_by_key(|line| self.lines[*line].pass);
        let fits = |ticket: u64| self.has_room(&self.waiting[&ticket].arrival);
        order.into_iter().find_map(|line| self.lines[line].pick(fits))
    }

    fn run(&mut self, now: Moment, waiter: Waiter) {
        let Waiter { arrival, line, .. } = waiter;
        let kind = self.kind_mut(arrival.long);
        kind.running.insert((now, arrival.ticket));
        let cost = kind.pace.mean();
        self.pass = self.pass.max(self.lines[line].pass);
        self.lines[line].charge(cost);
        self.lines[line].start(&arrival.caller);
        self.lines[line].standing.start();
        self.keys.start(arrival.key.as_ref());
        self.running.insert(arrival.ticket, Running { arrival, line, since: now });
    }

    fn refuse(&mut self, ticket: u64, line: usize, reason: Reason) -> Output {
        let line = &mut self.lines[line].standing;
        if reason != Reason::Late {
            line.refuse();
        }
        let back = BACK.mul_f64(line.pressure().clamp(1.0, 16.0)).min(BACK_MOST);
        // Callers that were refused together would otherwise return together.
        let retry_after = back.mul_f64(self.rng.random_range(0.5..1.5));
        Output::Refuse { reason, retry_after, ticket }
    }

    fn kind_mut(&mut self, long: bool) -> &mut Kind {
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
