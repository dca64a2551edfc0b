//! Events about upstreams on their way to the leader.

use std::time::Duration;

use crate::catalog::Action;
use crate::catalog::Departure;
use crate::catalog::Outcome;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::id::Index;
use crate::node::core::Output;
use crate::wire::Order;

use super::Control;
use super::FRESH_TIMEOUT;
use super::ORDER_TIMEOUT;
use super::Pending;
use super::events;

/// Time within which a control that is in touch again has read what was sent to it meanwhile.
const CATCH_UP: Duration = Duration::from_millis(250);

/// When a control was last out of touch with the log, and the index that it had applied then.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    until: Moment,
    applied: Index,
}

impl Control {
    /// Records whether this control is out of touch with the log, before it handles an input.
    pub(super) fn record_absence(&mut self, now: Moment) {
        let Some(controller) = &self.controller else { return };
        if controller.applied() > 0 && !controller.replica().is_current(now, FRESH_TIMEOUT) {
            self.absence = Some(Absence { until: now, applied: controller.applied() });
        }
    }

    /// Takes an event about an upstream that reached this control.
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
        let action = self.date(now, controller, action);
        let outcome = controller.catalog().outcome(&action);
        if outcome == Outcome::Kept && !action.needs_commit(outcome) {
            outputs.push(Output::Announced(ticket, Ok(())));
            return;
        }
        self.announcements.add(ticket, action);
        self.forward_announcements(now, outputs);
    }

    /// Gives a departure the position in the log that it was read at. One that lay here while this
    /// control was out of touch was sent before what the log has got since.
    fn date(&self, now: Moment, controller: &Controller, action: Action) -> Action {
        let Action::Leave(upstream) = action else { return action };
        let recent = self.absence.filter(|absence| now < absence.until + CATCH_UP);
        let seen = recent.map_or(controller.applied(), |absence| absence.applied);
        Action::Depart(Departure { seen, upstream })
    }

    /// Forwards the events that wait, unless earlier ones are on their way.
    pub(super) fn forward_announcements(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(actions) = self.announcements.next_batch() else { return };
        let ticket = self.next_ticket();
        let kind = Pending::Catalog(actions.clone());
        self.forward(now, ticket, kind, Order::Catalog(actions), ORDER_TIMEOUT, outputs);
    }

    /// Answers the events of the order that ended; without outcomes, none was confirmed.
    pub(super) fn answer_announcements(
        &mut self,
        actions: &[Action],
        outcomes: Option<&[Outcome]>,
        outputs: &mut Vec<Output>,
    ) {
        for (at, tickets) in self.announcements.finish().into_iter().enumerate() {
            let outcome = outcomes.and_then(|outcomes| outcomes.get(at));
            let result = match (outcome, actions.get(at)) {
                (Some(Outcome::Changed | Outcome::Kept), _) => Ok(()),
                (Some(Outcome::Stale(known)), Some(action)) => {
                    let event = events::stale(&self.peers.me().id, action, known);
                    outputs.push(Output::Event(event));
                    Err(format!("held to be old, as `{known}` is known"))
                }
                _ => Err("the log could not take it in time".to_owned()),
            };
            for ticket in tickets {
                outputs.push(Output::Announced(ticket, result.clone()));
            }
        }
    }
}
