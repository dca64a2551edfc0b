//! What a registry does with messages.

use crate::clock::Moment;
use crate::fleet::Repair;
use crate::id::NodeId;
use crate::registry::Change;
use crate::registry::Message;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::Standing;
use crate::registry::State;
use crate::registry::machine::COMPARE_ANYWAY;
use crate::registry::machine::QUIET;
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
                    self.learn(now, change, Some(&from), outputs);
                }
            }
            Message::Missing(upstream) => self.spread.queue(&from, &upstream),
            Message::Renew { incarnation, upstream } => {
                let known = self.upstreams.get_mut(&upstream);
                let current = known.filter(|known| {
                    let announcement = &known.announcement;
                    announcement.incarnation == incarnation && announcement.state != State::Gone
                });
                match current {
                    Some(known) => known.renewed = now,
                    None => {
                        let message = Message::Missing(upstream);
                        outputs.push(Output::Send { to: from, message });
                    }
                }
            }
            Message::Repair(step) => self.repair(&from, &step, outputs),
            Message::Standings(standings) => {
                for standing in standings {
                    self.stand(now, &from, standing, outputs);
                }
            }
            Message::Summary(root) => self.compare(now, from, root, outputs),
        }
    }

    /// Takes in a state, or asks for the whole record where this one lacks it.
    fn stand(&mut self, now: Moment, from: &NodeId, standing: Standing, outputs: &mut Vec<Output>) {
        let known = self.upstreams.get(&standing.upstream).map(|known| known.change(now));
        let told = (standing.incarnation, standing.revision);
        let place = |known: &Change| (known.announcement.incarnation, known.revision);
        let Some(mut change) = known.filter(|known| place(known) >= told) else {
            let message = Message::Missing(standing.upstream);
            outputs.push(Output::Send { to: from.clone(), message });
            return;
        };
        if place(&change) == told {
            change.announcement.state = standing.state;
            self.learn(now, change, Some(from), outputs);
        }
    }

    /// Starts a comparison where a neighbour's table differs for no passing reason.
    ///
    /// Where it does not differ, nothing waits for that neighbour any more: after a
    /// bulk of changes most of what waits reached it on other ways.
    fn compare(&mut self, now: Moment, with: NodeId, root: u32, outputs: &mut Vec<Output>) {
        if root == self.digest.root() {
            self.spread.saw_all(&with);
            self.urgent.saw_all(&with);
            return;
        }
        let rested = |period| self.compared_at.is_none_or(|at| now >= at + period);
        let quiet = now >= self.changed_at + QUIET && rested(SUMMARY_PERIOD);
        if quiet || rested(COMPARE_ANYWAY) {
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
            self.spread.queue(from, key);
        }
    }
}
