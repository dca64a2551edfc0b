//! State machine of an entry that claims keys before dispatch.

mod delivery;
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

/// Shortest time between two messages of new actions. It batches actions under load; a
/// single request doesn't wait.
const BATCH_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait for a grant; longer than an election.
const GRANT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a grant while control is known to be silent. Enough to try two
/// replicas; callers shouldn't wait long where earlier requests got no answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most requests that may wait for a grant at a time: 2 s of 1,000 requests a second,
/// which is many times an entry's share of the peak.
const MAX_WAITING_REQUESTS: usize = 2048;
/// Time for which an abandon is retried; after it the key's outcome becomes unknown.
const ABANDON_RETRY_PERIOD: Duration = Duration::from_secs(600);
/// Time after which a refused caller may retry; longer than an election.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Sequence of the claim id that reports the start of the process.
const START_SEQUENCE: u64 = 0;

/// Claims keys before dispatch and reports the outcomes to the ledger.
///
/// A request is dispatched only after [`Output::Granted`]. A request whose claim is not
/// confirmed in time is refused as not run. Since this process then never dispatches it,
/// it may abandon the claim: the abandon is retried until confirmed, and frees the key
/// even if the grant was committed in the meantime.
#[derive(Clone, Debug)]
pub struct Agent {
    waiting_requests: usize,
    controls: Vec<NodeId>,
    due: BTreeSet<(Moment, u64)>,
    timeouts: BTreeSet<(Moment, u64)>,
    entry: NodeId,
    flushed_at: Moment,
    heard_at: Moment,
    incarnation: Incarnation,
    leader: usize,
    pending: BTreeMap<u64, Pending>,
    redirected_at: Moment,
    sequence: u64,
    is_control_silent: bool,
    tickets: BTreeMap<Ticket, u64>,
    switched_at: Moment,
}

impl Agent {
    /// Creates the agent of a process that starts now. `incarnation` must differ from
    /// that of every earlier process of this name, and should be higher.
    pub fn new(now: Moment, entry: NodeId, incarnation: Incarnation) -> Self {
        let mut agent = Self {
            waiting_requests: 0,
            controls: Vec::new(),
            due: BTreeSet::new(),
            timeouts: BTreeSet::new(),
            entry,
            flushed_at: Moment::ZERO,
            heard_at: now,
            incarnation,
            leader: 0,
            pending: BTreeMap::new(),
            redirected_at: Moment::ZERO,
            sequence: START_SEQUENCE,
            is_control_silent: false,
            tickets: BTreeMap::new(),
            switched_at: Moment::ZERO,
        };
        agent.pending.insert(START_SEQUENCE, Pending::start(now));
        agent.due.insert((now, START_SEQUENCE));
        agent
    }

    /// Handles an input and returns the resulting outputs.
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
        self.expire(now, &mut outputs);
        self.flush(now, &mut outputs);
        outputs
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_at(&self) -> Option<Moment> {
        let due = self.due.first().filter(|_| !self.controls.is_empty());
        due.into_iter().chain(self.timeouts.first()).map(|(at, _)| *at).min()
    }

    /// Number of claims whose last action control has not confirmed.
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
        if self.waiting_requests >= MAX_WAITING_REQUESTS
            || deadline <= now
            || self.tickets.contains_key(&ticket)
        {
            outputs.push(Output::Refused { retry_after: RETRY_AFTER, ticket });
            return;
        }
        self.sequence += 1;
        self.waiting_requests += 1;
        self.tickets.insert(ticket, self.sequence);
        let timeout = if self.is_control_silent { PROBE_TIMEOUT } else { GRANT_TIMEOUT };
        let timeout_at = deadline.min(now + timeout);
        let slot = request.slot.clone();
        let stage = Stage::Claiming(request);
        let pending =
            Pending { due: now, timeout_at: Some(timeout_at), slot, stage, ticket, attempts: 0 };
        self.pending.insert(self.sequence, pending);
        self.timeouts.insert((timeout_at, self.sequence));
        self.schedule(self.sequence, now.max(self.flushed_at + BATCH_INTERVAL));
    }

    fn abandon(&mut self, now: Moment, ticket: Ticket) {
        if let Some(sequence) = self.take_granted(ticket) {
            self.set_stage(sequence, Stage::Abandoning, Some(now + ABANDON_RETRY_PERIOD));
            self.schedule(sequence, now);
        }
    }

    fn finish(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        if let Some(sequence) = self.take_granted(ticket) {
            self.set_stage(sequence, Stage::Finishing(outcome), None);
            self.schedule(sequence, now.max(self.flushed_at + BATCH_INTERVAL));
        }
    }

    /// Removes the ticket of a granted request and returns its sequence.
    fn take_granted(&mut self, ticket: Ticket) -> Option<u64> {
        let sequence = *self.tickets.get(&ticket)?;
        let pending = self.pending.get(&sequence)?;
        if pending.stage != Stage::Granted {
            return None;
        }
        self.tickets.remove(&ticket);
        Some(sequence)
    }

    fn receive(&mut self, now: Moment, from: &NodeId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::Receipts(receipts) => {
                self.is_control_silent = false;
                self.heard_at = now;
                self.leader = self.position(from).unwrap_or(self.leader);
                receipts.into_iter().for_each(|receipt| self.handle_receipt(now, receipt, outputs));
            }
            Message::Redirect(leader) => self.redirect(now, from, leader),
            Message::Submit(_) => {}
        }
    }

    fn handle_receipt(&mut self, now: Moment, receipt: Receipt, outputs: &mut Vec<Output>) {
        let ClaimId { entry, incarnation, sequence } = receipt.claim;
        if entry != self.entry || incarnation != self.incarnation {
            return;
        }
        let Some(pending) = self.pending.get(&sequence) else { return };
        let ticket = pending.ticket;
        match (&pending.stage, receipt.reply) {
            (Stage::Claiming(_), Reply::Granted) => {
                self.set_stage(sequence, Stage::Granted, None);
                outputs.push(Output::Granted(ticket));
            }
            (Stage::Claiming(_), reply) => {
                if let Some(output) = Output::from_reply(ticket, reply) {
                    self.withdraw(now, sequence, pending.attempts > 1);
                    outputs.push(output);
                }
            }
            (Stage::Abandoning, Reply::Abandoned | Reply::Gone)
            | (Stage::Finishing(_), Reply::Finished | Reply::Gone)
            | (Stage::Starting, Reply::Started) => self.close(sequence),
            _ => {}
        }
    }

    fn expire(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some((at, sequence)) = self.timeouts.first().copied() {
            if at > now {
                return;
            }
            let Some(pending) = self.pending.get(&sequence) else { return };
            let (ticket, sent) = (pending.ticket, pending.attempts > 0);
            if !matches!(pending.stage, Stage::Claiming(_)) {
                self.close(sequence);
                continue;
            }
            self.is_control_silent |= now >= self.heard_at + GRANT_TIMEOUT;
            outputs.push(Output::Refused { retry_after: RETRY_AFTER, ticket });
            self.withdraw(now, sequence, sent);
        }
    }

    /// Ends a claim that will not be dispatched. If a copy of it may be in flight, it is
    /// abandoned: a copy granted late, when the key is free or the ledger has space again,
    /// would hold the key as in progress until its limit and as unknown afterwards.
    fn withdraw(&mut self, now: Moment, sequence: u64, is_copy_in_flight: bool) {
        if !is_copy_in_flight {
            self.close(sequence);
            return;
        }
        if let Some(pending) = self.pending.get(&sequence) {
            self.tickets.remove(&pending.ticket);
        }
        self.set_stage(sequence, Stage::Abandoning, Some(now + ABANDON_RETRY_PERIOD));
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

    fn set_stage(&mut self, sequence: u64, stage: Stage, timeout_at: Option<Moment>) {
        let Some(pending) = self.pending.get_mut(&sequence) else { return };
        self.due.remove(&(pending.due, sequence));
        if let Some(at) = pending.timeout_at.take() {
            self.timeouts.remove(&(at, sequence));
        }
        if matches!(pending.stage, Stage::Claiming(_)) {
            self.waiting_requests -= 1;
        }
        pending.stage = stage;
        pending.timeout_at = timeout_at;
        pending.attempts = 0;
        if let Some(at) = timeout_at {
            self.timeouts.insert((at, sequence));
        }
    }

    fn close(&mut self, sequence: u64) {
        self.set_stage(sequence, Stage::Granted, None);
        if let Some(pending) = self.pending.remove(&sequence) {
            self.tickets.remove(&pending.ticket);
        }
    }
}
