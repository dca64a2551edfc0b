//! Carries orders to whichever control leads.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::config::Version;
use crate::id::NodeId;
use crate::wire::Frame;
use crate::wire::Order;
use crate::wire::Verdict;

/// Time without an answer after which an order goes to the next control.
const RETRY: Duration = Duration::from_millis(500);
/// Pause before an order is sent again where nobody leads.
const PAUSE: Duration = Duration::from_millis(100);
/// Pause before an order follows the word of one control to another: two that take each
/// other for the leader would pass it to and fro without end.
const FOLLOW: Duration = Duration::from_millis(10);
/// Longest that an operator's submission is carried around: an election takes two
/// seconds, and the operator may send again.
const PATIENCE: Duration = Duration::from_secs(10);

/// Carries orders to whichever control leads.
///
/// The same order may reach the leader several times: a submission's id, an announcement's
/// number, or that it only asks, makes that safe.
#[derive(Debug, Default)]
pub(super) struct Forwarder {
    controls: Vec<NodeId>,
    leader: usize,
    pending: BTreeMap<u64, Pending>,
}

#[derive(Debug)]
struct Pending {
    due: Moment,
    order: Order,
    sent: bool,
    until: Moment,
}

/// What the forwarder wants done.
#[derive(Debug)]
pub(super) enum Output {
    Answer(u64, Verdict),
    Send(NodeId, Box<Frame>),
}

impl Forwarder {
    pub(super) fn set_controls(&mut self, controls: Vec<NodeId>) {
        if self.controls != controls {
            self.controls = controls;
            self.leader = 0;
        }
    }

    /// Tries this control first.
    pub(super) fn set_leader(&mut self, leader: &NodeId) {
        if let Some(at) = self.controls.iter().position(|control| control == leader) {
            self.leader = at;
        }
    }

    pub(super) fn submit(&mut self, now: Moment, ticket: u64, version: Version) -> Vec<Output> {
        self.forward(now, ticket, Order::Submit(version), PATIENCE)
    }

    /// Carries an order around for at most `patience`.
    pub(super) fn forward(
        &mut self,
        now: Moment,
        ticket: u64,
        order: Order,
        patience: Duration,
    ) -> Vec<Output> {
        self.pending
            .insert(ticket, Pending { due: now, order, sent: false, until: now + patience });
        self.tick(now)
    }

    pub(super) fn verdict(&mut self, now: Moment, ticket: u64, verdict: Verdict) -> Vec<Output> {
        let Some(pending) = self.pending.get_mut(&ticket) else { return Vec::new() };
        match verdict {
            Verdict::NotLeader(Some(leader)) => {
                pending.due = now + FOLLOW;
                pending.sent = false;
                self.set_leader(&leader);
            }
            Verdict::NotLeader(None) => {
                self.leader = (self.leader + 1) % self.controls.len().max(1);
                pending.due = now + PAUSE;
                pending.sent = false;
            }
            settled => {
                self.pending.remove(&ticket);
                return vec![Output::Answer(ticket, settled)];
            }
        }
        Vec::new()
    }

    /// When it wants to be told the time.
    pub(super) fn wake(&self) -> Option<Moment> {
        self.pending.values().map(|pending| pending.due.min(pending.until)).min()
    }

    pub(super) fn tick(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            self.pending.remove(&ticket);
            outputs.push(Output::Answer(ticket, Verdict::Unconfirmed));
        }
        let mut late = false;
        for (ticket, pending) in &mut self.pending {
            let Some(control) = self.controls.get(self.leader) else { return outputs };
            if pending.due > now {
                continue;
            }
            late |= pending.sent;
            pending.sent = true;
            pending.due = now + RETRY;
            let frame = match pending.order.clone() {
                Order::Submit(version) => Frame::Submit { ticket: *ticket, version },
                order => Frame::Order { ticket: *ticket, order },
            };
            outputs.push(Output::Send(control.clone(), Box::new(frame)));
        }
        if late {
            self.leader = (self.leader + 1) % self.controls.len().max(1);
        }
        outputs
    }
}
