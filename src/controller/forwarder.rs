//! Forwards orders to the control that leads.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Version;
use crate::id::NodeId;
use crate::wire::Frame;
use crate::wire::Order;
use crate::wire::Verdict;

/// Time without an answer after which an order is sent to the next control.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff before an order is sent again when no control leads.
const NO_LEADER_BACKOFF: Duration = Duration::from_millis(100);
/// Backoff before an order follows a redirect. Two controls that take each other for the leader
/// would otherwise redirect it in a busy loop.
const REDIRECT_BACKOFF: Duration = Duration::from_millis(10);
/// Longest time for which an operator's submission is retried. An election takes two seconds,
/// and the operator may submit again.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards orders to the control that leads, and retries them until they are answered.
///
/// An order may reach the leader several times. That is safe, since submissions are idempotent by
/// id, announcements and demands by number, and reads change nothing.
#[derive(Debug, Default)]
pub(crate) struct Forwarder {
    controls: Vec<NodeId>,
    /// Index of the presumed leader in `controls`.
    leader: usize,
    pending: BTreeMap<u64, Pending>,
}

#[derive(Debug)]
struct Pending {
    next_send_at: Moment,
    order: Order,
    /// Whether it is sent and waits for an answer.
    is_sent: bool,
    deadline: Moment,
}

/// Effect that the caller of a [`Forwarder`] carries out.
#[derive(Debug)]
pub(crate) enum Output {
    /// Final answer to the order with this ticket.
    Answer(u64, Verdict),
    /// Frame to send to a control.
    Send(NodeId, Box<Frame>),
}

impl Forwarder {
    pub(crate) fn set_controls(&mut self, controls: Vec<NodeId>) {
        if self.controls != controls {
            self.controls = controls;
            self.leader = 0;
        }
    }

    /// Sets the control that orders are sent to first.
    pub(crate) fn set_leader(&mut self, leader: &NodeId) {
        if let Some(at) = self.controls.iter().position(|control| control == leader) {
            self.leader = at;
        }
    }

    pub(crate) fn submit(&mut self, now: Moment, ticket: u64, version: Version) -> Vec<Output> {
        self.forward(now, ticket, Order::Submit(version), SUBMIT_TIMEOUT)
    }

    /// Forwards an order, and retries it for at most `timeout`.
    pub(crate) fn forward(
        &mut self,
        now: Moment,
        ticket: u64,
        order: Order,
        timeout: Duration,
    ) -> Vec<Output> {
        self.pending.insert(
            ticket,
            Pending { next_send_at: now, order, is_sent: false, deadline: now + timeout },
        );
        self.tick(now)
    }

    pub(crate) fn handle_verdict(
        &mut self,
        now: Moment,
        ticket: u64,
        verdict: Verdict,
    ) -> Vec<Output> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        match verdict {
            Verdict::NotLeader(Some(leader)) => {
                pending.next_send_at = now + REDIRECT_BACKOFF;
                pending.is_sent = false;
                self.set_leader(&leader);
            }
            Verdict::NotLeader(None) => {
                self.leader = (self.leader + 1) % self.controls.len().max(1);
                pending.next_send_at = now + NO_LEADER_BACKOFF;
                pending.is_sent = false;
            }
            verdict => {
                self.pending.remove(&ticket);
                return vec![Output::Answer(ticket, verdict)];
            }
        }
        Vec::new()
    }

    /// When the next [`Self::tick`] is due.
    pub(crate) fn next_at(&self) -> Option<Moment> {
        self.pending.values().map(|pending| pending.next_send_at.min(pending.deadline)).min()
    }

    pub(crate) fn tick(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.pending.remove(&ticket);
            outputs.push(Output::Answer(ticket, Verdict::Unconfirmed));
        }
        let mut is_unanswered = false;
        for (ticket, pending) in &mut self.pending {
            let Some(control) = self.controls.get(self.leader) else { return outputs };
            if pending.next_send_at > now {
                continue;
            }
            is_unanswered |= pending.is_sent;
            pending.is_sent = true;
            pending.next_send_at = now + ANSWER_TIMEOUT;
            let frame = match pending.order.clone() {
                Order::Submit(version) => Frame::Submit { ticket: *ticket, version },
                order => Frame::Order { ticket: *ticket, order },
            };
            outputs.push(Output::Send(control.clone(), Box::new(frame)));
        }
        if is_unanswered {
            self.leader = (self.leader + 1) % self.controls.len().max(1);
        }
        outputs
    }
}
