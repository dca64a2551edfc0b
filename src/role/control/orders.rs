//! Orders to the leader, and their answers.

use std::time::Duration;

use crate::clock::Moment;
use crate::config::Version;
use crate::controller::Controller;
use crate::controller::forwarder;
use crate::feed::Message;
use crate::id::NodeId;
use crate::node::core::Output;
use crate::quota;
use crate::wire::Order;
use crate::wire::Verdict;

use super::Control;
use super::ORDER_TIMEOUT;
use super::Pending;
use super::SUBMIT_TIMEOUT;
use super::reads::Read;
use super::send;

impl Control {
    /// Ticket for an order of this control itself.
    pub(super) fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Forwards a demand of an entry; an entry may demand only for itself.
    pub(super) fn forward_demand(
        &mut self,
        now: Moment,
        from: NodeId,
        ticket: u64,
        demand: quota::Demand,
        outputs: &mut Vec<Output>,
    ) {
        if demand.holder != from {
            tracing::warn!(target: "hemlockfield::link", peer = %from, holder = %demand.holder, "quota demand for another entry");
            return;
        }
        let kind = Pending::Quota(from, ticket);
        let order = Order::Quota(demand);
        let ticket = self.next_ticket();
        self.forward(now, ticket, kind, order, quota::Limiter::RESEND_INTERVAL, outputs);
    }

    pub(super) fn submit(
        &mut self,
        now: Moment,
        ticket: u64,
        version: Version,
        outputs: &mut Vec<Output>,
    ) {
        let in_force = self.version().map(|version| version.number);
        if let Some(number) = in_force.filter(|number| *number >= version.number) {
            // Already committed, or older than the committed one.
            outputs.push(Output::Verdict(ticket, Verdict::AlreadyAccepted(number)));
            return;
        }
        let order = Order::Submit(version);
        self.forward(now, ticket, Pending::Submit, order, SUBMIT_TIMEOUT, outputs);
    }

    pub(super) fn forward(
        &mut self,
        now: Moment,
        ticket: u64,
        kind: Pending,
        order: Order,
        timeout: Duration,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(leader) = self.controller.as_ref().and_then(Controller::leader) {
            self.forwarder.set_leader(&leader);
        }
        self.pending.insert(ticket, kind);
        let effects = self.forwarder.forward(now, ticket, order, timeout);
        self.handle_effects(now, effects, outputs);
    }

    pub(super) fn handle_effects(
        &mut self,
        now: Moment,
        effects: Vec<forwarder::Output>,
        outputs: &mut Vec<Output>,
    ) {
        for output in effects {
            match output {
                forwarder::Output::Answer(ticket, verdict) => {
                    self.answer(now, ticket, verdict, outputs);
                }
                forwarder::Output::Send(to, frame) => outputs.push(Output::Send(to, None, *frame)),
            }
        }
    }

    pub(super) fn answer(
        &mut self,
        now: Moment,
        ticket: u64,
        verdict: Verdict,
        outputs: &mut Vec<Output>,
    ) {
        match (self.pending.remove(&ticket), verdict) {
            (Some(Pending::Catalog(actions)), verdict) => {
                let outcomes = match &verdict {
                    Verdict::Recorded(outcomes) => Some(outcomes.as_slice()),
                    _ => None,
                };
                self.answer_announcements(&actions, outcomes, outputs);
                self.forward_announcements(now, outputs);
            }
            (Some(Pending::Quota(to, ticket)), Verdict::Granted(grant)) => {
                outputs.push(send(to, Message::Grant { ticket, grant }));
            }
            // The entry repeats its demand.
            (Some(Pending::Quota(..)), _) => (),
            (Some(Pending::Read), Verdict::Readable(index)) => {
                self.reads.push(Read { index, ticket, deadline: now + ORDER_TIMEOUT });
            }
            (Some(Pending::Read), _) => outputs.push(Output::Configuration(ticket, None)),
            (Some(Pending::Submit) | None, verdict) => {
                outputs.push(Output::Verdict(ticket, verdict));
            }
        }
    }
}
