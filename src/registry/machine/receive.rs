//! Messages from other registries.

use crate::clock::Moment;
use crate::fleet::Repair;
use crate::id::NodeId;
use crate::registry::Change;
use crate::registry::Message;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;
use crate::registry::StateChange;
use crate::registry::machine::COMPARE_PERIOD_MAX;
use crate::registry::machine::QUIET_PERIOD;
use crate::registry::machine::SUMMARY_PERIOD;

impl Registry {
    pub(super) fn receive(
        &mut self,
        now: Moment,
        from: NodeId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Changes(changes) => {
                for change in changes {
                    self.apply(now, change, Some(&from), outputs);
                }
            }
            Message::Missing(upstream) => self.dissemination.queue(&from, &upstream),
            Message::Renew { incarnation, upstream } => {
                let known = self.upstreams.get_mut(&upstream);
                let current = known.filter(|known| {
                    let announcement = &known.announcement;
                    announcement.incarnation == incarnation && announcement.state != State::Gone
                });
                match current {
                    Some(known) => known.renewed_at = now,
                    None => {
                        let message = Message::Missing(upstream);
                        outputs.push(Output::Send { to: from, message });
                    }
                }
            }
            Message::Repair(step) => self.repair(&from, &step, outputs),
            Message::Standings(state_changes) => {
                for state_change in state_changes {
                    self.apply_state(now, &from, state_change, outputs);
                }
            }
            Message::Summary(root) => self.compare(now, from, root, outputs),
        }
    }

    /// Applies a state change, or requests the whole record if it is missing here.
    fn apply_state(
        &mut self,
        now: Moment,
        from: &NodeId,
        state_change: StateChange,
        outputs: &mut Vec<Output>,
    ) {
        let known = self.upstreams.get(&state_change.upstream).map(|known| known.change(now));
        let received = (state_change.incarnation, state_change.revision);
        let position = |known: &Change| (known.announcement.incarnation, known.revision);
        let Some(mut change) = known.filter(|known| position(known) >= received) else {
            let message = Message::Missing(state_change.upstream);
            outputs.push(Output::Send { to: from.clone(), message });
            return;
        };
        if position(&change) == received {
            change.announcement.state = state_change.state;
            self.apply(now, change, Some(from), outputs);
        }
    }

    /// Starts a digest comparison if a neighbour's table differs and no changes are in flight.
    ///
    /// If the tables are equal, all changes queued for the neighbour are dropped. After many
    /// changes, most of the queued ones have reached it over other links.
    fn compare(&mut self, now: Moment, with: NodeId, root: u32, outputs: &mut Vec<Output>) {
        if root == self.digest.root() {
            self.dissemination.mark_all_known(&with);
            self.urgent.mark_all_known(&with);
            return;
        }
        let is_due = |period| self.compared_at.is_none_or(|at| now >= at + period);
        let is_quiet = now >= self.changed_at + QUIET_PERIOD && is_due(SUMMARY_PERIOD);
        if is_quiet || is_due(COMPARE_PERIOD_MAX) {
            self.compared_at = Some(now);
            let message = Message::Repair(self.digest.hashes());
            outputs.push(Output::Send { to: with, message });
        }
    }

    fn repair(&mut self, from: &NodeId, step: &Repair, outputs: &mut Vec<Output>) {
        let answer = self.digest.answer(step);
        for repair in answer.repairs {
            outputs.push(Output::Send { to: from.clone(), message: Message::Repair(repair) });
        }
        for key in &answer.send {
            self.dissemination.queue(from, key);
        }
    }
}
