//! State machine of an entry: claims keys before dispatch.

mod courier;
mod pending;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::Incarnation;
use crate::id::NodeId;

use super::ClaimId;
use super::Input;
use super::Message;
use super::Outcome;
use super::Output;
use super::Receipt;
use super::Reply;
use super::Request;
use super::Ticket;

use pending::Pending;
use pending::Stage;

/// Shortest time between two messages of fresh actions: under load it groups
/// them, alone a request does not wait.
const GROUP_GAP: Duration = Duration::from_millis(2);
/// Longest wait for a grant; an election takes less.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest wait while control is known to be silent: two replicas are tried, and
/// callers are not kept for an answer that earlier ones waited for in vain.
const PROBE: Duration = Duration::from_millis(500);
/// Requests that may wait for a grant at a time: 2 s of 1,000 a second, an
/// entry's share of the peak many times over.
const ASKING_LIMIT: usize = 2048;
/// Time for which an abandon is sent again; after it the key turns unknown.
const ABANDON_AGE: Duration = Duration::from_secs(600);
/// When a refused caller may come back: after an election.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Sequence of the claim id that stands for the start of the process.
const START: u64 = 0;

/// Claims keys before dispatch, and tells the ledger what became of them.
///
/// A request is dispatched only after [`Output::Granted`]. One that can't be
/// confirmed in time is refused as not run, and since this process then never
/// dispatches it, it may say so: the abandon is sent until confirmed, and frees
/// the key even if the grant was committed meanwhile.
#[derive(Clone, Debug)]
pub struct Agent {
    asking: usize,
    controls: Vec<NodeId>,
    due: BTreeSet<(Moment, u64)>,
    ends: BTreeSet<(Moment, u64)>,
    entry: NodeId,
    flushed_at: Moment,
    heard_at: Moment,
    incarnation: Incarnation,
    leader: usize,
    pending: BTreeMap<u64, Pending>,
    redirected_at: Moment,
    sequence: u64,
    silent: bool,
    tickets: BTreeMap<Ticket, u64>,
    turned_at: Moment,
}

impl Agent {
    /// Agent of a process that starts now; `incarnation` must differ from that of
    /// every earlier process of this name, and should be higher.
    pub fn new(now: Moment, entry: NodeId, incarnation: Incarnation) -> Self {
        let mut agent = Self {
            asking: 0,
            controls: Vec::new(),
            due: BTreeSet::new(),
            ends: BTreeSet::new(),
            entry,
            flushed_at: Moment::ZERO,
            heard_at: now,
            incarnation,
            leader: 0,
            pending: BTreeMap::new(),
            redirected_at: Moment::ZERO,
            sequence: START,
            silent: false,
            tickets: BTreeMap::new(),
            turned_at: Moment::ZERO,
        };
        agent.pending.insert(START, Pending::start(now));
        agent.due.insert((now, START));
        agent
    }

    /// Takes an event and tells what to do.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Abandon(ticket) => self.abandon(now, ticket),
            Input::Begin { deadline, request, ticket } => {
                self.begin(now, ticket, request, deadline, &mut outputs);
            }
            Input::Controls(controls) => self.set_controls(controls),
            Input::Finish { outcome, ticket } => self.finish(now, ticket, outcome),
            Input::Receive { from, message } => self.receive(now, &from, message, &mut outputs),
            Input::Tick => {}
        }
        self.give_up(now, &mut outputs);
        self.flush(now, &mut outputs);
        outputs
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_at(&self) -> Option<Moment> {
        let due = self.due.first().filter(|_| !self.controls.is_empty());
        due.into_iter().chain(self.ends.first()).map(|(at, _)| *at).min()
    }

    /// Requests and reports that wait for control.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn set_controls(&mut self, controls: Vec<NodeId>) {
        let leader = self.controls.get(self.leader).cloned();
        self.leader = controls.iter().position(|id| Some(id) == leader.as_ref()).unwrap_or(0);
        self.controls = controls;
    }

    fn begin(
        &mut self,
        now: Moment,
        ticket: Ticket,
        request: Request,
        deadline: Moment,
        outputs: &mut Vec<Output>,
    ) {
        if self.asking >= ASKING_LIMIT || deadline <= now || self.tickets.contains_key(&ticket) {
            outputs.push(Output::Refused { retry_after: RETRY_AFTER, ticket });
            return;
        }
        self.sequence += 1;
        self.asking += 1;
        self.tickets.insert(ticket, self.sequence);
        let patience = if self.silent { PROBE } else { PATIENCE };
        let until = deadline.min(now + patience);
        let slot = request.slot.clone();
        let stage = Stage::Asking(request);
        let pending = Pending { due: now, ends: Some(until), slot, stage, ticket, tries: 0 };
        self.pending.insert(self.sequence, pending);
        self.ends.insert((until, self.sequence));
        self.schedule(self.sequence, now.max(self.flushed_at + GROUP_GAP));
    }

    fn abandon(&mut self, now: Moment, ticket: Ticket) {
        if let Some(sequence) = self.held(ticket) {
            self.turn(sequence, Stage::Abandoning, Some(now + ABANDON_AGE));
            self.schedule(sequence, now);
        }
    }

    fn finish(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        if let Some(sequence) = self.held(ticket) {
            self.turn(sequence, Stage::Finishing(outcome), None);
            self.schedule(sequence, now.max(self.flushed_at + GROUP_GAP));
        }
    }

    /// Ends the ticket of a granted request.
    fn held(&mut self, ticket: Ticket) -> Option<u64> {
        let sequence = *self.tickets.get(&ticket)?;
        let pending = self.pending.get(&sequence)?;
        if pending.stage != Stage::Held {
            return None;
        }
        self.tickets.remove(&ticket);
        Some(sequence)
    }

    fn receive(&mut self, now: Moment, from: &NodeId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::Receipts(receipts) => {
                self.silent = false;
                self.heard_at = now;
                self.leader = self.position(from).unwrap_or(self.leader);
                receipts.into_iter().for_each(|receipt| self.settle(now, receipt, outputs));
            }
            Message::Redirect(leader) => self.redirect(now, from, leader),
            Message::Submit(_) => {}
        }
    }

    fn settle(&mut self, now: Moment, receipt: Receipt, outputs: &mut Vec<Output>) {
        let ClaimId { entry, incarnation, sequence } = receipt.claim;
        if entry != self.entry || incarnation != self.incarnation {
            return;
        }
        let Some(pending) = self.pending.get(&sequence) else { return };
        let ticket = pending.ticket;
        match (&pending.stage, receipt.reply) {
            (Stage::Asking(_), Reply::Granted) => {
                self.turn(sequence, Stage::Held, None);
                outputs.push(Output::Granted(ticket));
            }
            (Stage::Asking(_), reply) => {
                if let Some(output) = Output::of_reply(ticket, reply) {
                    self.leave(now, sequence, pending.tries > 1);
                    outputs.push(output);
                }
            }
            (Stage::Abandoning, Reply::Abandoned | Reply::Gone)
            | (Stage::Finishing(_), Reply::Finished | Reply::Gone)
            | (Stage::Starting, Reply::Started) => self.close(sequence),
            _ => {}
        }
    }

    fn give_up(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some((at, sequence)) = self.ends.first().copied() {
            if at > now {
                return;
            }
            let Some(pending) = self.pending.get(&sequence) else { return };
            let (ticket, sent) = (pending.ticket, pending.tries > 0);
            if !matches!(pending.stage, Stage::Asking(_)) {
                self.close(sequence);
                continue;
            }
            self.silent |= now >= self.heard_at + PATIENCE;
            outputs.push(Output::Refused { retry_after: RETRY_AFTER, ticket });
            self.leave(now, sequence, sent);
        }
    }

    /// Ends a claim that will not be dispatched. If a copy of it may be under way,
    /// control is told: granted late, when the key is free or the ledger has room
    /// again, the copy would hold the key until its limit, and then as unknown.
    fn leave(&mut self, now: Moment, sequence: u64, copy_under_way: bool) {
        if !copy_under_way {
            self.close(sequence);
            return;
        }
        if let Some(pending) = self.pending.get(&sequence) {
            self.tickets.remove(&pending.ticket);
        }
        self.turn(sequence, Stage::Abandoning, Some(now + ABANDON_AGE));
        self.schedule(sequence, now);
    }

    fn claim(&self, sequence: u64) -> ClaimId {
        ClaimId { entry: self.entry.clone(), incarnation: self.incarnation, sequence }
    }

    fn schedule(&mut self, sequence: u64, at: Moment) {
        let Some(pending) = self.pending.get_mut(&sequence) else { return };
        self.due.remove(&(pending.due, sequence));
        pending.due = at;
        self.due.insert((at, sequence));
    }

    fn turn(&mut self, sequence: u64, stage: Stage, ends: Option<Moment>) {
        let Some(pending) = self.pending.get_mut(&sequence) else { return };
        self.due.remove(&(pending.due, sequence));
        if let Some(at) = pending.ends.take() {
            self.ends.remove(&(at, sequence));
        }
        if matches!(pending.stage, Stage::Asking(_)) {
            self.asking -= 1;
        }
        pending.stage = stage;
        pending.ends = ends;
        pending.tries = 0;
        if let Some(at) = ends {
            self.ends.insert((at, sequence));
        }
    }

    fn close(&mut self, sequence: u64) {
        self.turn(sequence, Stage::Held, None);
        if let Some(pending) = self.pending.remove(&sequence) {
            self.tickets.remove(&pending.ticket);
        }
    }
}
