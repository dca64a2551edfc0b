//! Announcements of upstreams on their way to the leader.

use crate::catalog::Action;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::node::core::Output;
use crate::wire::Order;

use super::Control;
use super::FRESH_TIMEOUT;
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
            log_own_answer(now, controller, &action);
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

/// Logs a departure that is answered from this control's own table, which may be old.
fn log_own_answer(now: Moment, controller: &Controller, action: &Action) {
    let Action::Leave(upstream) = action else { return };
    let is_in_touch = controller.replica().is_current(now, FRESH_TIMEOUT);
    tracing::info!(
        target: "hemlockfield::catalog",
        %upstream,
        applied = controller.applied(),
        is_in_touch,
        "departure answered from the own table"
    );
}
