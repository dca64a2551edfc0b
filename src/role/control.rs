//! State of a control: the replicated state machine, the feed to entries, and automatic changes
//! of the log's members.

mod announcements;
mod news;
mod orders;
mod reads;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config::Version;
use crate::controller;
use crate::controller::Controller;
use crate::controller::forwarder::Forwarder;
use crate::feed;
use crate::feed::Message;
use crate::feed::Publisher;
use crate::id::NodeId;
use crate::node::View;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::node::status;
use crate::quorum::repair;
use crate::timeline::Kind;
use crate::wire::Frame;
use crate::wire::Order;

use super::Setup;
use super::events;
use super::listing::Listing;
use super::peers::Peers;
use announcements::Absence;
use reads::Read;

/// A control marks its news as fresh if its log was in touch with the leader, or with a majority
/// if it leads, within this span: four heartbeats, so that one lost heartbeat does not matter.
const FRESH_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between two greetings to the other controls.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two checks for a due change of the log's members.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which an announcement or a read is retried. The sender waits for a
/// second and then turns to another control.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for which a submission is retried; an election may take place within it.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1900);
/// Base of the tickets for orders of this control itself, above all tickets of this process's control
/// thread.
const TICKET_BASE: u64 = 1 << 63;

/// State of a control.
#[derive(Debug)]
pub(super) struct Control {
    /// Entries that the last event about them named.
    advertised: Vec<NodeId>,
    absence: Option<Absence>,
    announcements: catalog::Batcher,
    /// Orders that the forwarder has not answered, by ticket.
    pending: BTreeMap<u64, Pending>,
    forwarder: Forwarder,
    hello_at: Moment,
    member_check_at: Moment,
    last_ticket: u64,
    controller: Option<Controller>,
    peers: Peers,
    publisher: Publisher,
    /// Digest of the entries in `listing`.
    listed: Option<u64>,
    listing: Listing,
    reads: Vec<Read>,
    /// Why the controller stopped, if it did.
    stopped: Option<String>,
}

/// Kind of a pending order.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Pending {
    Catalog(Vec<catalog::Action>),
    /// Demand of an entry, with its own ticket.
    Quota(NodeId, u64),
    Read,
    Submit,
}

impl Control {
    pub(super) fn new(now: Moment, setup: Setup) -> Self {
        let me = feed::Control { domain: setup.domain, id: setup.id };
        let mut role = Self {
            advertised: Vec::new(),
            absence: None,
            announcements: catalog::Batcher::default(),
            pending: BTreeMap::new(),
            forwarder: Forwarder::default(),
            hello_at: now,
            member_check_at: now,
            last_ticket: TICKET_BASE,
            controller: setup.controller,
            peers: Peers::new(me, setup.seeds),
            publisher: Publisher::default(),
            listed: None,
            listing: Listing::default(),
            reads: Vec::new(),
            stopped: None,
        };
        role.add_members();
        role
    }

    pub(super) fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        self.record_absence(now);
        let mut outputs = Vec::new();
        match input {
            Input::Catalog(ticket, action) => {
                self.forward_announcement(now, ticket, action, &mut outputs);
            }
            Input::ChangeMembers(ticket, change) => {
                self.step_controller(
                    now,
                    wall,
                    controller::Input::Change(ticket, change),
                    &mut outputs,
                );
            }
            Input::Frame(from, frame) => self.receive(now, wall, from, frame, &mut outputs),
            Input::ReadConfiguration(ticket) => {
                self.forward(now, ticket, Pending::Read, Order::Read, ORDER_TIMEOUT, &mut outputs);
            }
            Input::Seeds(seeds) => {
                self.peers.set_seeds(seeds);
                self.add_members();
            }
            Input::Submit(ticket, version) => self.submit(now, ticket, version, &mut outputs),
            Input::Synced(number) => {
                self.step_controller(now, wall, controller::Input::Synced(number), &mut outputs);
            }
            Input::Tick => self.tick(now, wall, &mut outputs),
            _ => (),
        }
        self.answer_reads(now, &mut outputs);
        outputs
    }

    pub(super) fn next_at(&self, now: Moment) -> Moment {
        let controller = self.controller.as_ref().and_then(Controller::next_at);
        let reads = self.reads.iter().map(|read| read.deadline).min();
        let member_check = self
            .controller
            .as_ref()
            .filter(|controller| controller.is_leader())
            .map(|_| self.member_check_at);
        let due =
            controller.into_iter().chain(reads).chain(member_check).chain(self.forwarder.next_at());
        due.fold(self.publisher.wake().min(self.hello_at), Moment::min).max(now)
    }

    pub(super) fn version(&self) -> Option<&Version> {
        self.controller.as_ref()?.in_force()
    }

    pub(super) fn status(&self, now: Moment) -> status::Control {
        status::Control {
            claims: self.controller.as_ref().map_or(0, Controller::remembered_claims),
            log: self.controller.as_ref().map(|controller| controller.status(now)),
            stopped: self.stopped.clone(),
        }
    }

    /// Entries that callers are told of; `None` if they are the same as in the last view.
    pub(super) fn listing(&mut self, now: Moment, last: &View) -> Option<Listing> {
        let roster = self.publisher.roster(now);
        if self.listed != Some(roster.digest()) {
            let me = &self.peers.me().id;
            self.listing = Listing::new(me, roster.advertised(), roster.is_settled());
            self.listed = Some(roster.digest());
        }
        self.listing.is_settled = roster.is_settled();
        (!self.listing.is_in(last)).then(|| self.listing.clone())
    }

    pub(super) fn close_controller(&mut self, reason: String) {
        self.controller = None;
        self.stopped = Some(reason);
    }

    pub(super) fn open_controller(&mut self, controller: Controller) {
        self.controller = Some(controller);
        self.stopped = None;
        self.add_members();
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
            Frame::Feed(message) => self.receive_feed(now, from, message, outputs),
            Frame::Order { ticket, order } => {
                let input = match order {
                    Order::Catalog(actions) => controller::Input::Catalog(from, ticket, actions),
                    Order::Quota(ask) => controller::Input::Quota(from, ticket, ask),
                    Order::Read => controller::Input::Read(from, ticket),
                    Order::Submit(version) => controller::Input::Submit(from, ticket, version),
                };
                self.step_controller(now, wall, input, outputs);
            }
            Frame::Quorum(message) => {
                self.step_controller(now, wall, controller::Input::Receive(from, message), outputs);
            }
            Frame::Submit { ticket, version } => {
                let input = controller::Input::Submit(from, ticket, version);
                self.step_controller(now, wall, input, outputs);
            }
            Frame::Verdict { ticket, verdict } => {
                let effects = self.forwarder.handle_verdict(now, ticket, verdict);
                self.handle_effects(now, effects, outputs);
            }
            _ => tracing::warn!(
                target: "hemlockfield::link",
                peer = %from,
                "frame of another kind of fleet"
            ),
        }
    }

    fn tick(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        self.step_controller(now, wall, controller::Input::Tick, outputs);
        let effects = self.forwarder.tick(now);
        self.handle_effects(now, effects, outputs);
        self.publish(now, outputs);
        self.greet(now, outputs);
        self.change_members(now, wall, outputs);
        self.note_advertised(now, outputs);
    }

    /// Changes the log's members if this control leads and the set of live controls calls for it.
    fn change_members(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        let Some(controller) = self.controller.as_ref().filter(|controller| controller.is_leader())
        else {
            return;
        };
        if now < self.member_check_at {
            return;
        }
        self.member_check_at = now + MEMBER_CHECK_INTERVAL;
        let change = repair::next_change(
            &controller.status(now),
            controller.tenure(now),
            &self.peers.disks(now),
        );
        if let Some(change) = change {
            let event = events::event(&self.peers.me().id, Kind::MemberChanged);
            outputs.push(Output::Event(event.detail("change", format!("{change:?}"))));
            self.step_controller(now, wall, controller::Input::Change(0, change), outputs);
        }
    }

    fn step_controller(
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
                    outputs.push(Output::MembersChanged(ticket, result));
                }
                controller::Output::Committed(version) => {
                    changed = true;
                    self.publisher.set_configuration(&version);
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
                controller::Output::UpstreamsChanged(actions) => {
                    changed = true;
                    let events = events::catalog(&self.peers.me().id, &actions);
                    outputs.extend(events.into_iter().map(Output::Event));
                }
            }
        }
        if changed {
            let slots = self.controller.as_ref().map(|controller| controller.catalog().slots());
            self.publisher.set_slots(slots.unwrap_or_default());
            self.publisher.schedule_push(now);
            self.add_members();
            self.publish(now, outputs);
        }
    }

    fn members(&self) -> Vec<NodeId> {
        let members = self.controller.as_ref().map(|controller| controller.replica().membership());
        members
            .map(|membership| membership.members().map(|(id, _)| id.clone()).collect())
            .unwrap_or_default()
    }

    fn add_members(&mut self) {
        self.peers.add_members_and_seeds(self.members());
        self.update_forwarder();
    }

    fn update_forwarder(&mut self) {
        self.forwarder.set_controls(self.peers.ids());
    }
}

fn send(to: NodeId, message: Message) -> Output {
    Output::Send(to, None, Frame::Feed(message))
}
