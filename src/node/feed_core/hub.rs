//! A control's part: the log, the feed to entries, and repair of the members.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Action;
use crate::catalog::Catalog;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config::Version;
use crate::directory;
use crate::feed::Control;
use crate::feed::Message;
use crate::feed::Publisher;
use crate::feed::Report;
use crate::feed::Snapshot;
use crate::id::Index;
use crate::id::NodeId;
use crate::node::Controller;
use crate::node::View;
use crate::node::controller;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::node::forwarder;
use crate::node::forwarder::Forwarder;
use crate::node::status;
use crate::quorum::mend;
use crate::quota;
use crate::timeline::Kind;
use crate::wire::Frame;
use crate::wire::Order;
use crate::wire::Verdict;

use super::Setup;
use super::events;
use super::peers::Peers;

/// A control vouches for its news while the log was heard to go on within this span: four
/// heartbeats, so that one lost is no alarm.
const FRESH: Duration = Duration::from_millis(700);
/// Pause between two greetings of the other controls.
const HELLO: Duration = Duration::from_millis(500);
/// Pause between two looks at the members.
const MEND: Duration = Duration::from_millis(200);
/// Longest that an announcement or a reading is carried around: those who ask wait for a
/// second and then ask another control.
const PATIENCE: Duration = Duration::from_millis(800);
/// Longest that a submission is carried around: an election may pass meanwhile.
const SUBMIT_PATIENCE: Duration = Duration::from_millis(1900);
/// Tickets of what entries ask begin here, beyond all those of this process's own doors.
const ASKS: u64 = 1 << 63;

/// A control's part.
#[derive(Debug)]
pub(super) struct Hub {
    asked: BTreeMap<u64, Asked>,
    forwarder: Forwarder,
    hello_at: Moment,
    mend_at: Moment,
    next_ask: u64,
    controller: Option<Controller>,
    peers: Peers,
    publisher: Publisher,
    reads: Vec<Reading>,
    stopped: Option<String>,
}

/// What a ticket asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Asked {
    Catalog,
    /// An entry, with its own ticket.
    Quota(NodeId, u64),
    Read,
    Submit,
}

/// A reading that waits for the own log to come so far.
#[derive(Clone, Copy, Debug)]
struct Reading {
    index: Index,
    ticket: u64,
    until: Moment,
}

impl Hub {
    pub(super) fn new(now: Moment, setup: Setup) -> Self {
        let me = Control { domain: setup.domain, id: setup.id };
        let mut hub = Self {
            asked: BTreeMap::new(),
            forwarder: Forwarder::default(),
            hello_at: now,
            mend_at: now,
            next_ask: ASKS,
            controller: setup.controller,
            peers: Peers::new(me, setup.seeds),
            publisher: Publisher::default(),
            reads: Vec::new(),
            stopped: None,
        };
        hub.meet_members();
        hub
    }

    pub(super) fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Catalog(ticket, action) => self.catalog(now, ticket, action, &mut outputs),
            Input::Change(ticket, change) => {
                self.tell_controller(
                    now,
                    wall,
                    controller::Input::Change(ticket, change),
                    &mut outputs,
                );
            }
            Input::Frame(from, frame) => self.receive(now, wall, from, frame, &mut outputs),
            Input::Read(ticket) => {
                self.ask(now, ticket, Asked::Read, Order::Read, PATIENCE, &mut outputs);
            }
            Input::Seeds(seeds) => {
                self.peers.set_seeds(seeds);
                self.meet_members();
            }
            Input::Submit(ticket, version) => self.submit(now, ticket, version, &mut outputs),
            Input::Synced(number) => {
                self.tell_controller(now, wall, controller::Input::Synced(number), &mut outputs);
            }
            Input::Tick => self.tick(now, wall, &mut outputs),
            _ => (),
        }
        self.settle_reads(now, &mut outputs);
        outputs
    }

    pub(super) fn wake(&self, now: Moment) -> Moment {
        let controller = self.controller.as_ref().and_then(Controller::next_at);
        let reads = self.reads.iter().map(|read| read.until).min();
        let mend =
            self.controller.as_ref().filter(|controller| controller.leads()).map(|_| self.mend_at);
        let due = controller.into_iter().chain(reads).chain(mend).chain(self.forwarder.wake());
        due.fold(self.publisher.wake().min(self.hello_at), Moment::min).max(now)
    }

    pub(super) fn version(&self) -> Option<&Version> {
        self.controller.as_ref()?.in_force()
    }

    pub(super) fn control(&self, now: Moment) -> status::Control {
        status::Control {
            claims: self.controller.as_ref().map_or(0, Controller::remembered_claims),
            log: self.controller.as_ref().map(|controller| controller.status(now)),
            stopped: self.stopped.clone(),
        }
    }

    /// Entries that take callers; `None` where they are those of the last view.
    pub(super) fn entries(&self, now: Moment, last: &View) -> Option<Arc<Vec<directory::Entry>>> {
        let mut entries: Vec<directory::Entry> =
            self.publisher.advertised(now).into_iter().map(super::listed).collect();
        entries.sort_by(|one, other| one.id.cmp(&other.id));
        (entries != *last.entries).then(|| Arc::new(entries))
    }

    pub(super) fn close_controller(&mut self, reason: String) {
        self.controller = None;
        self.stopped = Some(reason);
    }

    pub(super) fn open_controller(&mut self, controller: Controller) {
        self.controller = Some(controller);
        self.stopped = None;
        self.meet_members();
    }

    fn receive(
        &mut self,
        now: Moment,
        wall: Epoch,
        from: NodeId,
        frame: Frame,
        outputs: &mut Vec<Output>,
    ) {
        match frame {
            Frame::Feed(message) => self.feed(now, from, message, outputs),
            Frame::Order { ticket, order } => {
                let input = match order {
                    Order::Catalog(action) => controller::Input::Catalog(from, ticket, action),
                    Order::Quota(ask) => controller::Input::Quota(from, ticket, ask),
                    Order::Read => controller::Input::Read(from, ticket),
                    Order::Submit(version) => controller::Input::Submit(from, ticket, version),
                };
                self.tell_controller(now, wall, input, outputs);
            }
            Frame::Quorum(message) => {
                self.tell_controller(now, wall, controller::Input::Receive(from, message), outputs);
            }
            Frame::Submit { ticket, version } => {
                let input = controller::Input::Submit(from, ticket, version);
                self.tell_controller(now, wall, input, outputs);
            }
            Frame::Verdict { ticket, verdict } => {
                let done = self.forwarder.verdict(now, ticket, verdict);
                self.carry_out(now, done, outputs);
            }
            _ => tracing::warn!(
                target: "hemlockfield::link",
                peer = %from,
                "frame of another kind of fleet"
            ),
        }
    }

    fn feed(&mut self, now: Moment, from: NodeId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::Controls { controls, leader } => {
                let new = controls.into_iter().filter(|it| self.peers.hear_of(it.clone())).count();
                if new > 0 {
                    self.set_forwarder();
                }
                if let Some(leader) = leader {
                    self.forwarder.set_leader(&leader);
                }
            }
            Message::Hello { control, disk, ready } => {
                let known = self.peers.has_greeted(&from);
                if self.peers.greeted(now, control, disk) {
                    self.set_forwarder();
                }
                self.publisher.merge_report(now, &from, ready);
                if !known {
                    let controls = self.peers.present(now);
                    let leader = self.controller.as_ref().and_then(Controller::leader);
                    outputs.push(send(from, Message::Controls { controls, leader }));
                }
            }
            Message::Ask { ticket, ask } => self.quota(now, from, ticket, ask, outputs),
            Message::Grant { .. } | Message::News(_) => (),
            Message::Tallies(tallies) => self.publisher.add_tallies(now, &tallies, false),
            Message::Poll(poll) => {
                let controls = self.peers.present(now);
                let blank = Catalog::default();
                let ledger = ledger(now, self.controller.as_ref(), &blank, controls);
                let sends = self.publisher.poll(now, poll, &ledger);
                outputs.extend(sends.into_iter().map(|(to, message)| send(to, message)));
            }
        }
    }

    fn tick(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        self.tell_controller(now, wall, controller::Input::Tick, outputs);
        let done = self.forwarder.tick(now);
        self.carry_out(now, done, outputs);
        self.publish(now, outputs);
        self.greet(now, outputs);
        self.mend(now, wall, outputs);
    }

    fn publish(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.publisher.wake() {
            return;
        }
        let controls = self.peers.present(now);
        let blank = Catalog::default();
        let ledger = ledger(now, self.controller.as_ref(), &blank, controls);
        let sends = self.publisher.tick(now, &ledger);
        outputs.extend(sends.into_iter().map(|(to, message)| send(to, message)));
    }

    /// Tells the other controls that this one is there, and of its entries.
    fn greet(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.hello_at && !self.publisher.has_changed_entries() {
            return;
        }
        self.hello_at = now + HELLO;
        self.peers.forget(now, self.members());
        let disk =
            self.controller.as_ref().and_then(|controller| controller.replica().named_disk());
        let ready = Report { entries: self.publisher.report(now) };
        for id in self.peers.others() {
            let (control, ready) = (self.peers.me().clone(), ready.clone());
            outputs.push(send(id.clone(), Message::Hello { control, disk, ready }));
        }
    }

    /// Changes the members, where this control leads and the others that are there ask for it.
    fn mend(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        let Some(controller) = self.controller.as_ref().filter(|controller| controller.leads())
        else {
            return;
        };
        if now < self.mend_at {
            return;
        }
        self.mend_at = now + MEND;
        let next =
            mend::next(&controller.status(now), controller.tenure(now), &self.peers.disks(now));
        if let Some(change) = next {
            let event = events::event(&self.peers.me().id, Kind::MemberChanged);
            outputs.push(Output::Event(event.detail("change", format!("{change:?}"))));
            self.tell_controller(now, wall, controller::Input::Change(0, change), outputs);
        }
    }

    fn catalog(&mut self, now: Moment, ticket: u64, action: Action, outputs: &mut Vec<Output>) {
        let Some(controller) = &self.controller else {
            outputs.push(Output::Announced(ticket, Err("no disk to write to".to_owned())));
            return;
        };
        if !controller.catalog().is_news(&action) {
            outputs.push(Output::Announced(ticket, Ok(())));
            return;
        }
        self.ask(now, ticket, Asked::Catalog, Order::Catalog(action), PATIENCE, outputs);
    }

    /// Carries on what an entry asks; an entry speaks for itself alone.
    fn quota(
        &mut self,
        now: Moment,
        from: NodeId,
        ticket: u64,
        ask: quota::Demand,
        outputs: &mut Vec<Output>,
    ) {
        if ask.holder != from {
            tracing::warn!(target: "hemlockfield::link", peer = %from, holder = %ask.holder, "asks for another");
            return;
        }
        self.next_ask += 1;
        let asked = Asked::Quota(from, ticket);
        let order = Order::Quota(ask);
        self.ask(now, self.next_ask, asked, order, quota::Limiter::RESEND_INTERVAL, outputs);
    }

    fn submit(&mut self, now: Moment, ticket: u64, version: Version, outputs: &mut Vec<Output>) {
        let held = self.version().map(|held| held.number);
        if let Some(held) = held.filter(|held| *held >= version.number) {
            // Committed before, or overtaken by what is committed.
            outputs.push(Output::Verdict(ticket, Verdict::AlreadyAccepted(held)));
            return;
        }
        let order = Order::Submit(version);
        self.ask(now, ticket, Asked::Submit, order, SUBMIT_PATIENCE, outputs);
    }

    fn ask(
        &mut self,
        now: Moment,
        ticket: u64,
        asked: Asked,
        order: Order,
        patience: Duration,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(leader) = self.controller.as_ref().and_then(Controller::leader) {
            self.forwarder.set_leader(&leader);
        }
        self.asked.insert(ticket, asked);
        let done = self.forwarder.forward(now, ticket, order, patience);
        self.carry_out(now, done, outputs);
    }

    fn carry_out(&mut self, now: Moment, done: Vec<forwarder::Output>, outputs: &mut Vec<Output>) {
        for output in done {
            match output {
                forwarder::Output::Answer(ticket, verdict) => {
                    self.answer(now, ticket, verdict, outputs);
                }
                forwarder::Output::Send(to, frame) => outputs.push(Output::Send(to, None, *frame)),
            }
        }
    }

    fn answer(&mut self, now: Moment, ticket: u64, verdict: Verdict, outputs: &mut Vec<Output>) {
        match (self.asked.remove(&ticket), verdict) {
            (Some(Asked::Catalog), Verdict::Announced) => {
                outputs.push(Output::Announced(ticket, Ok(())));
            }
            (Some(Asked::Catalog), _) => {
                let text = "the log could not take it in time".to_owned();
                outputs.push(Output::Announced(ticket, Err(text)));
            }
            (Some(Asked::Quota(to, ticket)), Verdict::Granted(grant)) => {
                outputs.push(send(to, Message::Grant { ticket, grant }));
            }
            // The entry asks again.
            (Some(Asked::Quota(..)), _) => (),
            (Some(Asked::Read), Verdict::Readable(index)) => {
                self.reads.push(Reading { index, ticket, until: now + PATIENCE });
            }
            (Some(Asked::Read), _) => outputs.push(Output::Read(ticket, None)),
            (Some(Asked::Submit) | None, verdict) => {
                outputs.push(Output::Verdict(ticket, verdict));
            }
        }
    }

    fn settle_reads(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.reads.is_empty() {
            return;
        }
        let applied = self.controller.as_ref().map(Controller::applied);
        for read in std::mem::take(&mut self.reads) {
            if applied.is_some_and(|applied| applied >= read.index) {
                outputs.push(Output::Read(read.ticket, Some(self.version().cloned())));
            } else if read.until <= now {
                outputs.push(Output::Read(read.ticket, None));
            } else {
                self.reads.push(read);
            }
        }
    }

    fn tell_controller(
        &mut self,
        now: Moment,
        wall: Epoch,
        input: controller::Input,
        outputs: &mut Vec<Output>,
    ) {
        let Some(controller) = &mut self.controller else { return };
        let mut changed = false;
        for output in controller.handle(now, wall, input) {
            match output {
                controller::Output::Changed(ticket, result) => {
                    outputs.push(Output::Changed(ticket, result));
                }
                controller::Output::Committed(version) => {
                    changed = true;
                    let event = events::event(&self.peers.me().id, Kind::ConfigurationAccepted);
                    outputs.push(Output::Event(event.configuration(version.number)));
                }
                controller::Output::SnapshotInstalled => changed = true,
                controller::Output::Leadership(_) => (),
                controller::Output::Persist(number, records) => {
                    outputs.push(Output::Persist(number, records));
                }
                controller::Output::Send(to, frame) => outputs.push(Output::Send(to, None, *frame)),
                controller::Output::RoleChanged(role, term) => {
                    let event = events::event(&self.peers.me().id, Kind::Election).term(term);
                    outputs.push(Output::Event(event.detail("role", format!("{role:?}"))));
                }
                controller::Output::UpstreamChanged(action) => {
                    changed = true;
                    outputs.push(Output::Event(events::about(&self.peers.me().id, &action)));
                }
            }
        }
        if changed {
            let upstreams =
                self.controller.iter().flat_map(|controller| controller.catalog().upstreams());
            self.publisher.set_slots(upstreams.map(|said| said.slots).sum());
            self.publisher.schedule_push(now);
            self.meet_members();
            self.publish(now, outputs);
        }
    }

    fn members(&self) -> Vec<NodeId> {
        let members = self.controller.as_ref().map(|controller| controller.replica().membership());
        members.map(|them| them.members().map(|(id, _)| id.clone()).collect()).unwrap_or_default()
    }

    fn meet_members(&mut self) {
        self.peers.meet_all(self.members());
        self.set_forwarder();
    }

    fn set_forwarder(&mut self) {
        self.forwarder.set_controls(self.peers.ids());
    }
}

fn ledger<'a>(
    now: Moment,
    controller: Option<&'a Controller>,
    blank: &'a Catalog,
    controls: Vec<Control>,
) -> Snapshot<'a> {
    let Some(controller) = controller else {
        return Snapshot {
            applied: 0,
            catalog: blank,
            configuration: None,
            controls,
            fresh: false,
        };
    };
    Snapshot {
        applied: controller.applied(),
        catalog: controller.catalog(),
        configuration: controller.configuration(),
        controls,
        fresh: controller.replica().is_current(now, FRESH),
    }
}

fn send(to: NodeId, message: Message) -> Output {
    Output::Send(to, None, Frame::Feed(message))
}
