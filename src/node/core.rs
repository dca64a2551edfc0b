//! All control state of a process as one state machine.

mod claims;
mod configuration;
mod machine;
mod membership;
mod quality;
mod upstreams;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::catalog;
use crate::claim;
use crate::claim::Agent;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config;
use crate::config::Replicator;
use crate::config::Standing;
use crate::config::Version;
use crate::directory;
use crate::fleet;
use crate::fleet::Member;
use crate::fleet::Seed;
use crate::health;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::quorum;
use crate::quorum::Record;
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
use crate::wire::Verdict;

use super::Controller;
use super::controller;
use super::forwarder::Forwarder;
use super::input::Claimed;
use super::judges::Judges;

/// What a process is, and what it still knows, at its start.
#[derive(Debug)]
pub struct Setup {
    /// Controls of the settings.
    pub controls: Vec<NodeId>,
    /// Version that the disk holds.
    pub kept: Option<Version>,
    /// Itself, as it tells the others.
    pub me: fleet::Record,
    /// Control's part, where the process has one.
    pub controller: Option<Controller>,
    /// Recording of the judges' inputs.
    pub recorder: Recorder,
    /// Processes to ask for membership.
    pub seeds: Vec<Seed>,
    /// Seed of every random choice.
    pub seed: u64,
}

/// What happens to a process.
#[derive(Debug)]
pub enum Input {
    /// An upstream announced itself here.
    Announce(u64, registry::Announcement),
    /// So many requests came from callers, and so many bytes went through.
    Carried(u32, u64),
    /// What an upstream says of itself to a control, for the log.
    Catalog(u64, catalog::Action),
    /// Change of the controls' membership.
    Change(u64, quorum::Change),
    /// A request wants its claim by the moment given.
    Claim(claim::Ticket, claim::Request, Moment),
    /// What became of a granted claim; `None` where it is proved not to have run.
    ClaimEnd(claim::Ticket, Option<claim::Outcome>),
    /// Leave the callers' lists.
    Drain,
    /// A frame arrived.
    Frame(NodeId, Frame),
    /// A request to an upstream ended.
    Outcome(ServiceId, UpstreamId, health::Kind, Duration),
    /// Requests that wait unusually long.
    Overdue(ServiceId, UpstreamId, Vec<Duration>),
    /// An upstream's own report: draining, where it told, and healthy.
    Probed(ServiceId, UpstreamId, Option<bool>, bool),
    /// This entry wants other parts of allowances.
    Quota(u64, quota::Demand),
    /// Somebody asks for the newest configuration.
    Read(u64),
    /// The seeds were exchanged.
    Seeds(Vec<NodeId>),
    /// The process ends: tell the others.
    Stop,
    /// An operator's submission.
    Submit(u64, Version),
    /// Records up to this number are on disk.
    Synced(u64),
    /// Time has passed.
    Tick,
    /// How a trial of an upstream ended.
    Tried {
        /// Whether its request could be sent again elsewhere.
        is_repeatable: bool,
        /// How it ended.
        kind: health::Kind,
        /// Until the answer, or until it was given up.
        latency: Duration,
        /// Its service.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// What a process does, in this order.
#[derive(Debug)]
pub enum Output {
    /// Answer to an announcement.
    Announced(u64, Result<(), String>),
    /// A configuration is in force here; to be kept on the disk.
    Apply(Version),
    /// Answer to a change of the controls' membership.
    Changed(u64, Result<u64, String>),
    /// Answer to a claim.
    Claimed(claim::Ticket, Claimed),
    /// Event for the time line; its stamp is yet to be set.
    Event(Event),
    /// What this entry holds of allowances from now on.
    Granted(u64, quota::Grant),
    /// Records to write and sync; then comes [`Input::Synced`].
    Persist(u64, Vec<Record>),
    /// Upstream to be asked for its own report; then comes [`Input::Probed`].
    Probe {
        /// Where it takes requests.
        address: SocketAddr,
        /// Path of the report.
        path: CompactString,
        /// Its service.
        service: ServiceId,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Frame to send, with the receiver's address where it is known.
    /// The newest configuration; `None` where it can't be told which that is.
    Read(u64, Option<Option<Version>>),
    /// Message to another process, and its address where it is known.
    Send(NodeId, Option<SocketAddr>, Frame),
    /// Answer to a submission.
    Verdict(u64, Verdict),
}

/// All control state of a process.
#[derive(Debug)]
pub struct Core {
    agent: Agent,
    /// Ticket of the announcement being taken.
    announcing: Option<u64>,
    /// Services where an upstream stays in use only because of the floor.
    forwarder: Forwarder,
    controls: Vec<NodeId>,
    dirty: bool,
    replicator: Replicator,
    /// Whether the slices know who there is.
    introduced: bool,
    judges: Judges,
    leaving: bool,
    me: fleet::Record,
    member: Member,
    controller: Option<Controller>,
    /// When this process last asked an upstream for its own report.
    probed_at: BTreeMap<UpstreamId, Moment>,
    registry: Registry,
    rules: Option<Arc<Rules>>,
    /// When evidence on the upstreams of a service was last sent to others.
    shared_at: BTreeMap<ServiceId, Moment>,
    /// Why control stopped here, if it did.
    stopped: Option<String>,
    version: u64,
    wall: Epoch,
}

impl Core {
    /// A process that starts at `now`.
    pub fn new(now: Moment, setup: Setup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(random.next_u64());
        let me = setup.me;
        let replicator =
            Replicator::new(now, me.id.clone(), config::Settings::default(), setup.kept, draw());
        let member = Member::new(now, me.clone(), setup.seeds, draw());
        let registry = Registry::new(now, me.id.clone(), draw());
        let judges = Judges::new(now, me.id.clone(), setup.recorder, draw());
        let mut core = Self {
            agent: Agent::new(now, me.id.clone(), me.incarnation),
            announcing: None,
            forwarder: Forwarder::default(),
            controls: setup.controls,
            dirty: true,
            replicator,
            introduced: false,
            judges,
            leaving: false,
            me,
            member,
            controller: setup.controller,
            probed_at: BTreeMap::new(),
            registry,
            rules: None,
            shared_at: BTreeMap::new(),
            stopped: None,
            version: 0,
            wall: Epoch::ZERO,
        };
        if let Some(version) = core.replicator.current().cloned() {
            core.resume(now, &version);
        }
        core
    }

    /// Takes one input; `wall` is the wall clock, for what outlives the process.
    pub fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        self.wall = wall;
        let mut outputs = Vec::new();
        match input {
            Input::Announce(ticket, announcement) => {
                self.announce(now, ticket, announcement, &mut outputs);
            }
            Input::Catalog(ticket, _) => {
                let text = "upstreams announce themselves to entries here".to_owned();
                outputs.push(Output::Announced(ticket, Err(text)));
            }
            Input::Change(ticket, change) => self.change(now, ticket, change, &mut outputs),
            Input::Claim(ticket, request, deadline) => {
                let input = claim::Input::Begin { deadline, request, ticket };
                self.tell_agent(now, input, &mut outputs);
            }
            Input::ClaimEnd(ticket, outcome) => self.end_claim(now, ticket, outcome, &mut outputs),
            Input::Drain => self.drain(now, &mut outputs),
            Input::Frame(from, frame) => self.receive(now, from, frame, &mut outputs),
            Input::Outcome(service, upstream, kind, latency)
            | Input::Tried { kind, latency, service, upstream, .. } => {
                self.outcome(now, service, upstream, kind, latency, &mut outputs);
            }
            Input::Overdue(service, upstream, ages) => {
                let input = health::Input::Pending { ages, upstream };
                self.tell_judge(now, &service, input, &mut outputs);
            }
            Input::Probed(service, upstream, draining, healthy) => {
                self.probed(now, service, upstream, draining, healthy, &mut outputs);
            }
            Input::Quota(ticket, ask) => {
                let order = Order::Quota(ask);
                let done =
                    self.forwarder.forward(now, ticket, order, quota::Limiter::RESEND_INTERVAL);
                self.carry_out(now, done, &mut outputs);
            }
            Input::Read(ticket) => outputs.push(Output::Read(ticket, None)),
            Input::Carried(..) | Input::Seeds(_) => (),
            Input::Stop => self.tell_member(now, fleet::Input::Leave, &mut outputs),
            Input::Submit(ticket, version) => {
                let done = self.forwarder.submit(now, ticket, version);
                self.carry_out(now, done, &mut outputs);
            }
            Input::Synced(number) => {
                self.tell_controller(now, controller::Input::Synced(number), &mut outputs);
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// When the next [`Input::Tick`] is due, at the latest.
    pub fn wake(&self) -> Moment {
        let mut wake = self.replicator.next_at();
        if let Some(at) = self.agent.next_at() {
            wake = wake.min(at);
        }
        if let Some(at) = self.controller.as_ref().and_then(Controller::next_at) {
            wake = wake.min(at);
        }
        wake
    }

    /// What is in force here.
    pub fn version(&self) -> Option<&Version> {
        self.replicator.current()
    }

    /// What this process may do with callers.
    pub fn standing(&self) -> Standing {
        self.replicator.standing()
    }

    /// Claims that control has not confirmed yet, beside the note of this start.
    pub fn open_claims(&self) -> usize {
        self.agent.pending()
    }

    /// Processes that this one holds links to.
    pub fn neighbours(&self) -> Vec<NodeId> {
        self.member.neighbours().iter().cloned().collect()
    }

    /// Membership as this process sees it.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Announced upstreams as this process sees them.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Control's part.
    pub fn controller(&self) -> Option<&Controller> {
        self.controller.as_ref()
    }

    /// Verdicts on the upstreams of each service.
    pub fn judges(&self) -> impl Iterator<Item = (&ServiceId, &health::Monitor)> {
        self.judges.iter()
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if !self.introduced {
            // A process that never meets another one still knows itself, and its controls.
            self.introduced = true;
            self.members_moved(now, outputs);
        }
        self.tell_member(now, fleet::Input::Tick, outputs);
        self.tell_controller(now, controller::Input::Tick, outputs);
        self.tell_replicator(now, config::Input::Tick, outputs);
        self.tell_agent(now, claim::Input::Tick, outputs);
        self.tick_registry(now, outputs);
        self.probe_own(now, outputs);
        self.tick_judges(now, outputs);
        let done = self.forwarder.tick(now);
        self.carry_out(now, done, outputs);
    }

    fn receive(&mut self, now: Moment, from: NodeId, frame: Frame, outputs: &mut Vec<Output>) {
        match frame {
            Frame::Claim(message) => self.claim_message(now, from, message, outputs),
            Frame::Config(message) => {
                self.tell_replicator(now, config::Input::Receive { from, message }, outputs);
            }
            Frame::Order { ticket, order: Order::Quota(ask) } => {
                self.tell_controller(now, controller::Input::Quota(from, ticket, ask), outputs);
            }
            Frame::Feed(_) | Frame::Order { .. } => {
                tracing::warn!(target: "hemlockfield::link", peer = %from, "frame of another kind of fleet");
            }
            Frame::Fleet(message) => {
                self.tell_member(now, fleet::Input::Receive { from, message }, outputs);
            }
            Frame::Health { digest, service } => {
                self.tell_judge(now, &service, health::Input::Digest(digest), outputs);
            }
            Frame::Quorum(message) => {
                self.tell_controller(now, controller::Input::Receive(from, message), outputs);
            }
            Frame::Registry(message) => {
                self.tell_registry(now, registry::Input::Receive { from, message }, outputs);
            }
            Frame::Submit { ticket, version } => {
                self.tell_controller(
                    now,
                    controller::Input::Submit(from, ticket, version),
                    outputs,
                );
            }
            Frame::Verdict { ticket, verdict } => {
                let done = self.forwarder.verdict(now, ticket, verdict);
                self.carry_out(now, done, outputs);
            }
        }
    }

    /// Sends a frame; one to this process itself is taken at once.
    fn send(&mut self, now: Moment, to: NodeId, frame: Frame, outputs: &mut Vec<Output>) {
        if to == self.me.id {
            self.receive(now, to, frame, outputs);
            return;
        }
        let address = self.member.record(&to).map(|(record, _)| record.meta.links);
        outputs.push(Output::Send(to, address, frame));
    }

    fn event(&self, kind: Kind) -> Event {
        Event::new(Stamp::default(), self.me.id.clone(), kind)
    }

    /// Entries that callers may be told of.
    fn entries(&self) -> Vec<directory::Entry> {
        directory::Entry::all(&self.member)
    }
}
