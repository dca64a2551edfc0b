//! Announcements of upstreams on their way to the leader.

use crate::catalog::Action;
use crate::clock::Moment;
use crate::node::core::Output;
use crate::wire::Order;

use super::Control;
use super::ORDER_TIMEOUT;
use super::Pending;

impl Control {
    /// Takes an announcement that reached this control.
    pub(super) fn forward_announcement(
        &mut self,
        now: Moment,
        ticket: u64,
        action: Action,
        outputs: &mut Vec<Output>,
    ) {
        let Some(controller) = &self.controller else {
            outputs.push(Output::Announced(ticket, Err("no disk to write to".to_owned())));
            return;
        };
        if !controller.catalog().would_change(&action) {
            outputs.push(Output::Announced(ticket, Ok(())));
            return;
        }
        self.announcements.add(ticket, action);
        self.forward_announcements(now, outputs);
    }

    /// Forwards the announcements that wait, unless earlier ones are on their way.
    pub(super) fn forward_announcements(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some(mut actions) = self.announcements.next_batch() {
            if let Some(controller) = &self.controller {
                actions.retain(|action| controller.catalog().would_change(action));
            }
            if actions.is_empty() {
                self.answer_announcements(&Ok(()), outputs);
                continue;
            }
            let ticket = self.next_ticket();
            let order = Order::Catalog(actions);
            self.forward(now, ticket, Pending::Catalog, order, ORDER_TIMEOUT, outputs);
        }
    }

    /// Answers the announcements of the order that ended.
    pub(super) fn answer_announcements(
        &mut self,
        result: &Result<(), String>,
        outputs: &mut Vec<Output>,
    ) {
        for ticket in self.announcements.finish() {
            outputs.push(Output::Announced(ticket, result.clone()));
        }
    }
}
