//! All control state of a process as one state machine.

mod claims;
mod configuration;
mod membership;
mod message;
mod monitors;
mod state_machine;
mod upstreams;
mod view;

pub use message::Input;
pub use message::Output;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::claim;
use crate::claim::Agent;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config;
use crate::config::Replicator;
use crate::config::Standing;
use crate::config::Version;
use crate::controller;
use crate::controller::Controller;
use crate::controller::forwarder::Forwarder;
use crate::directory;
use crate::fleet;
use crate::fleet::Member;
use crate::fleet::Seed;
use crate::health;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::quota;
use crate::registry;
use crate::registry::Registry;
use crate::replay::Recorder;
use crate::rule::Rules;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;
use crate::wire::Frame;
use crate::wire::Order;

use super::monitors::Monitors;

/// Identity of a process and the state it recovered at its start.
#[derive(Debug)]
pub struct Setup {
    /// Controls named in the settings.
    pub controls: Vec<NodeId>,
    /// Configuration recovered from disk.
    pub stored: Option<Version>,
    /// Record of this process that it announces to the fleet.
    pub me: fleet::Record,
    /// State of the replicated log, on a control.
    pub controller: Option<Controller>,
    /// Records the inputs of the health monitors for replay.
    pub recorder: Recorder,
    /// Processes to join the fleet through.
    pub seeds: Vec<Seed>,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Control state of a process, as a state machine without IO.
#[derive(Debug)]
pub struct Core {
    agent: Agent,
    /// Ticket of the announcement that the registry is handling.
    pending_announcement: Option<u64>,
    forwarder: Forwarder,
    controls: Vec<NodeId>,
    is_view_stale: bool,
    replicator: Replicator,
    has_published_members: bool,
    monitors: Monitors,
    is_leaving: bool,
    me: fleet::Record,
    member: Member,
    controller: Option<Controller>,
    /// Time of the last probe of each upstream.
    probed_at: BTreeMap<UpstreamId, Moment>,
    registry: Registry,
    rules: Option<Arc<Rules>>,
    /// Time at which evidence on a service was last sent to the neighbours.
    digest_sent_at: BTreeMap<ServiceId, Moment>,
    /// Reason why the replicated log stopped on this control.
    stop_reason: Option<String>,
    view_version: u64,
    wall_clock: Epoch,
}

impl Core {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Moment, setup: Setup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(random.next_u64());
        let me = setup.me;
        let replicator =
            Replicator::new(now, me.id.clone(), config::Settings::default(), setup.stored, draw());
        let member = Member::new(now, me.clone(), setup.seeds, draw());
        let registry = Registry::new(now, me.id.clone(), draw());
        let monitors = Monitors::new(now, me.id.clone(), setup.recorder, draw());
        let mut core = Self {
            agent: Agent::new(now, me.id.clone(), me.incarnation),
            pending_announcement: None,
            forwarder: Forwarder::default(),
            controls: setup.controls,
            is_view_stale: true,
            replicator,
            has_published_members: false,
            monitors,
            is_leaving: false,
            me,
            member,
            controller: setup.controller,
            probed_at: BTreeMap::new(),
            registry,
            rules: None,
            digest_sent_at: BTreeMap::new(),
            stop_reason: None,
            view_version: 0,
            wall_clock: Epoch::ZERO,
        };
        if let Some(version) = core.replicator.current().cloned() {
            core.restore_configuration(now, &version);
        }
        core
    }

    /// Handles one input. `wall` is the wall clock, which stamps state that outlives the process.
    pub fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        self.wall_clock = wall;
        let mut outputs = Vec::new();
        match input {
            Input::Announce(ticket, announcement) => {
                self.handle_announcement(now, ticket, announcement, &mut outputs);
            }
            Input::Catalog(ticket, _) => {
                let text = "upstreams announce themselves to entries here".to_owned();
                outputs.push(Output::Announced(ticket, Err(text)));
            }
            Input::ChangeMembers(ticket, change) => self.change(now, ticket, change, &mut outputs),
            Input::Claim(ticket, request, deadline) => {
                let input = claim::Input::Begin { deadline, request, ticket };
                self.step_agent(now, input, &mut outputs);
            }
            Input::ClaimEnd(ticket, outcome) => self.end_claim(now, ticket, outcome, &mut outputs),
            Input::Drain => self.drain(now, &mut outputs),
            Input::Frame(from, frame) => self.receive(now, from, frame, &mut outputs),
            Input::Outcome(service, upstream, kind, latency)
            | Input::TrialOutcome(service, upstream, kind, latency) => {
                self.handle_outcome(now, service, upstream, kind, latency, &mut outputs);
            }
            Input::Overdue(service, upstream, ages) => {
                let input = health::Input::Pending { ages, upstream };
                self.step_monitor(now, &service, input, &mut outputs);
            }
            Input::Probed(service, upstream, draining, healthy) => {
                self.handle_probe(now, service, upstream, draining, healthy, &mut outputs);
            }
            Input::Quota(ticket, ask) => {
                let order = Order::Quota(ask);
                let forwarder_outputs =
                    self.forwarder.forward(now, ticket, order, quota::Limiter::RESEND_INTERVAL);
                self.handle_forwarder_outputs(now, forwarder_outputs, &mut outputs);
            }
            Input::ReadConfiguration(ticket) => outputs.push(Output::Configuration(ticket, None)),
            Input::Throughput(..)
            | Input::Poison(_)
            | Input::Reach(_)
            | Input::Seeds(_)
            | Input::TrialBegan(..)
            | Input::UpstreamLimit(..) => (),
            Input::Stop => self.step_member(now, fleet::Input::Leave, &mut outputs),
            Input::Submit(ticket, version) => {
                let forwarder_outputs = self.forwarder.submit(now, ticket, version);
                self.handle_forwarder_outputs(now, forwarder_outputs, &mut outputs);
            }
            Input::Synced(number) => {
                self.step_controller(now, controller::Input::Synced(number), &mut outputs);
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Latest time for the next [`Input::Tick`].
    pub fn next_at(&self) -> Moment {
        let mut wake = self.replicator.next_at();
        if let Some(at) = self.agent.next_at() {
            wake = wake.min(at);
        }
        if let Some(at) = self.controller.as_ref().and_then(Controller::next_at) {
            wake = wake.min(at);
        }
        wake
    }

    /// Configuration in force.
    pub fn version(&self) -> Option<&Version> {
        self.replicator.current()
    }

    /// Whether this process may serve callers.
    pub fn standing(&self) -> Standing {
        self.replicator.standing()
    }

    /// Claims that control has not confirmed yet, without the one that stands for this start.
    pub fn open_claims(&self) -> usize {
        self.agent.pending()
    }

    /// Processes to keep links open to.
    pub fn neighbours(&self) -> Vec<NodeId> {
        self.member.neighbours().iter().cloned().collect()
    }

    /// Membership of the fleet, as known here.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Announced upstreams, as known here.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// State of the replicated log, on a control.
    pub fn controller(&self) -> Option<&Controller> {
        self.controller.as_ref()
    }

    /// Health monitor of each service.
    pub fn monitors(&self) -> impl Iterator<Item = (&ServiceId, &health::Monitor)> {
        self.monitors.iter()
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if !self.has_published_members {
            // A process that reaches no other still has itself and its settings' controls.
            self.has_published_members = true;
            self.publish_members(now, outputs);
        }
        self.step_member(now, fleet::Input::Tick, outputs);
        self.step_controller(now, controller::Input::Tick, outputs);
        self.step_replicator(now, config::Input::Tick, outputs);
        self.step_agent(now, claim::Input::Tick, outputs);
        self.tick_registry(now, outputs);
        self.probe_homed_upstreams(now, outputs);
        self.tick_monitors(now, outputs);
        let forwarder_outputs = self.forwarder.tick(now);
        self.handle_forwarder_outputs(now, forwarder_outputs, outputs);
    }

    fn receive(&mut self, now: Moment, from: NodeId, frame: Frame, outputs: &mut Vec<Output>) {
        match frame {
            Frame::Claim(message) => self.receive_claim(now, from, message, outputs),
            Frame::Config(message) => {
                self.step_replicator(now, config::Input::Receive { from, message }, outputs);
            }
            Frame::Order { ticket, order: Order::Quota(ask) } => {
                self.step_controller(now, controller::Input::Quota(from, ticket, ask), outputs);
            }
            Frame::Feed(_) | Frame::Order { .. } => {
                tracing::warn!(target: "hemlockfield::link", peer = %from, "unexpected frame kind");
            }
            Frame::Fleet(message) => {
                self.step_member(now, fleet::Input::Receive { from, message }, outputs);
            }
            Frame::Health { digest, service } => {
                self.step_monitor(now, &service, health::Input::Digest(digest), outputs);
            }
            Frame::Quorum(message) => {
                self.step_controller(now, controller::Input::Receive(from, message), outputs);
            }
            Frame::Registry(message) => {
                self.step_registry(now, registry::Input::Receive { from, message }, outputs);
            }
            Frame::Submit { ticket, version } => {
                self.step_controller(
                    now,
                    controller::Input::Submit(from, ticket, version),
                    outputs,
                );
            }
            Frame::Verdict { ticket, verdict } => {
                let forwarder_outputs = self.forwarder.handle_verdict(now, ticket, verdict);
                self.handle_forwarder_outputs(now, forwarder_outputs, outputs);
            }
        }
    }

    /// Sends a frame; one addressed to this process is handled at once.
    fn send(&mut self, now: Moment, to: NodeId, frame: Frame, outputs: &mut Vec<Output>) {
        if to == self.me.id {
            self.receive(now, to, frame, outputs);
            return;
        }
        let address = self.member.record(&to).map(|(record, _)| record.meta.links);
        outputs.push(Output::Send(to, address, frame));
    }

    fn new_event(&self, kind: Kind) -> Event {
        Event::new(Stamp::default(), self.me.id.clone(), kind)
    }

    /// Entries that may be listed to callers.
    fn directory_entries(&self) -> Vec<directory::Entry> {
        directory::Entry::all(&self.member)
    }
}
