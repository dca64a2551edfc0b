//! What a control tells entries and the other controls, and what they tell it.

use crate::catalog::Catalog;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::feed;
use crate::feed::Message;
use crate::feed::Report;
use crate::feed::Snapshot;
use crate::id::NodeId;
use crate::node::core::Output;

use super::Control;
use super::FRESH_TIMEOUT;
use super::HELLO_INTERVAL;
use super::events;
use super::send;

impl Control {
    pub(super) fn receive_feed(
        &mut self,
        now: Moment,
        from: NodeId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Controls { controls, leader } => {
                let added = controls.into_iter().filter(|it| self.peers.add(it.clone())).count();
                if added > 0 {
                    self.update_forwarder();
                }
                if let Some(leader) = leader {
                    self.forwarder.set_leader(&leader);
                }
            }
            Message::Hello { control, disk, quarantined, ready } => {
                let has_greeted = self.peers.has_greeted(&from);
                if self.peers.record_greeting(now, control, disk) {
                    self.update_forwarder();
                }
                let is_known = self.publisher.record_report(now, &from, ready);
                if !is_known {
                    outputs.push(send(from.clone(), Message::ReportWanted));
                }
                // A control that has just started would tell entries of none.
                let unknown = self.publisher.quarantine_for(now, quarantined);
                outputs
                    .extend(unknown.map(|report| send(from.clone(), Message::Quarantine(report))));
                if !has_greeted {
                    let controls = self.peers.live(now);
                    let leader = self.controller.as_ref().and_then(Controller::leader);
                    outputs.push(send(from, Message::Controls { controls, leader }));
                }
            }
            Message::Ask { ticket, ask } => self.forward_demand(now, from, ticket, ask, outputs),
            Message::Grant { .. } | Message::News(_) | Message::Part(_) => (),
            Message::Quarantine(report) => self.publisher.merge_quarantine(now, &report),
            Message::Request(request) => {
                outputs.push(send(from, Message::Part(self.publisher.part(&request))));
            }
            Message::ReportWanted => {
                let ready = self.publisher.whole_report();
                outputs.push(send(from, self.greeting(ready)));
            }
            Message::Tallies(tallies) => self.publisher.add_tallies(now, &tallies, false),
            Message::Poll(poll) => {
                let controls = self.peers.live(now);
                let empty = Catalog::default();
                let ledger = ledger(now, self.controller.as_ref(), &empty, controls);
                let sends = self.publisher.poll(now, *poll, &ledger);
                outputs.extend(sends.into_iter().map(|(to, message)| send(to, message)));
            }
        }
    }

    pub(super) fn note_advertised(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let roster = self.publisher.roster(now);
        let is_same = roster.advertised().iter().map(|entry| &entry.id).eq(&self.advertised);
        if is_same {
            return;
        }
        let after: Vec<NodeId> = roster.advertised().iter().map(|entry| entry.id.clone()).collect();
        let event = events::advertised(&self.peers.me().id, &self.advertised, &after);
        outputs.push(Output::Event(event));
        self.advertised = after;
    }

    pub(super) fn publish(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.publisher.wake() {
            return;
        }
        let controls = self.peers.live(now);
        let empty = Catalog::default();
        let ledger = ledger(now, self.controller.as_ref(), &empty, controls);
        let sends = self.publisher.tick(now, &ledger);
        outputs.extend(sends.into_iter().map(|(to, message)| send(to, message)));
    }

    /// Greets the other controls and sends them the entries that poll this one.
    pub(super) fn greet(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.hello_at && !self.publisher.has_changed_entries() {
            return;
        }
        self.hello_at = now + HELLO_INTERVAL;
        self.peers.remove_silent(now, self.members());
        let ready = self.publisher.report(now);
        for id in self.peers.others() {
            outputs.push(send(id.clone(), self.greeting(ready.clone())));
        }
    }

    pub(super) fn greeting(&self, ready: Report) -> Message {
        let disk =
            self.controller.as_ref().and_then(|controller| controller.replica().synced_disk());
        let quarantined = self.publisher.quarantine_digest();
        Message::Hello { control: self.peers.me().clone(), disk, quarantined, ready }
    }
}

fn ledger<'a>(
    now: Moment,
    controller: Option<&'a Controller>,
    empty: &'a Catalog,
    controls: Vec<feed::Control>,
) -> Snapshot<'a> {
    let Some(controller) = controller else {
        return Snapshot { applied: 0, catalog: empty, controls, fresh: false };
    };
    Snapshot {
        applied: controller.applied(),
        catalog: controller.catalog(),
        controls,
        fresh: controller.replica().is_current(now, FRESH_TIMEOUT),
    }
}
