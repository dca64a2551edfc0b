//! State that controls replicate: a replica of the quorum log, and what its committed entries produce.

mod backlog;
mod events;
pub(crate) mod forwarder;
mod proposals;
mod replies;
mod snapshot;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog::Action;
use crate::catalog::Catalog;
use crate::catalog::Outcome;
use crate::catalog::Returns;
use crate::claim;
use crate::claim::Batcher;
use crate::claim::Ledger;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config::Submissions;
use crate::config::Version;
use crate::id::ConfigNumber;
use crate::id::Index;
use crate::id::NodeId;
use crate::quorum;
use crate::quorum::Record;
use crate::quorum::Recovered;
use crate::quorum::Replica;
use crate::quota;
use crate::quota::Coordinator;
use crate::wire::Frame;
use crate::wire::Verdict;

use self::backlog::Backlog;
use self::replies::verdict_for;
use self::replies::verdict_output;
use self::snapshot::Body;
use self::snapshot::Command;

/// Batches of claims proposed but not committed yet. With two, one is sent to the replicas
/// while the other is synced to their disks.
const CLAIM_BATCHES_MAX: usize = 2;
/// Log positions for which a reply is kept until its proposal is accepted. Replies to what an
/// earlier leader proposed are never collected and have to be dropped.
const REPLIES_MAX: Index = 1_000;
/// Interval at which a leader confirms with a majority that it still leads, so that it can
/// answer which configuration is in force.
const LEADERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Replicated state machine of a control: a replica of the quorum log, and the state that the
/// committed entries produce.
#[derive(Debug)]
pub struct Controller {
    applied: Index,
    submissions: Submissions,
    catalog: Catalog,
    claim_batcher: Batcher,
    /// Batches of claims proposed but not committed yet.
    claim_batches: usize,
    leader_since: Moment,
    is_leader: bool,
    claim_ledger: Ledger,
    next_ticket: u64,
    /// Batches demands for quota allocations.
    quota_coordinator: Coordinator,
    leadership_check_at: Moment,
    /// Proposals and reads that the replica has not answered, by ticket.
    proposals: BTreeMap<u64, Proposal>,
    /// Outcomes of events about upstreams, by log index.
    catalog_replies: BTreeMap<Index, Vec<Outcome>>,
    /// Replies to demands for quota allocations, by log index.
    quota_replies: BTreeMap<Index, Vec<Option<quota::Grant>>>,
    quota_ledger: quota::Ledger,
    replica: Replica,
    /// Replies to submitted configurations, by log index.
    config_replies: BTreeMap<Index, Verdict>,
    /// Upstreams that announce themselves although the table holds them to be gone.
    returns: Returns,
    /// What was applied since the last snapshot.
    backlog: Backlog,
}

/// Input of a [`Controller`].
#[derive(Debug)]
pub enum Input {
    /// Announcements and departures of upstreams, with the forwarding control and its ticket.
    Catalog(NodeId, u64, Vec<Action>),
    /// Change of the controls' membership, with its ticket.
    Change(u64, quorum::Change),
    /// Claim actions of an entry.
    Claims(NodeId, Vec<claim::Action>),
    /// Message of another replica of the log.
    Receive(NodeId, quorum::Message),
    /// Demand of an entry for quota allocations, with the forwarding process and its ticket.
    Quota(NodeId, u64, quota::Demand),
    /// Request of a control, with its ticket, for the index up to which it must apply the log
    /// before a linearizable read.
    Read(NodeId, u64),
    /// Configuration that an operator submitted, with the forwarding process and its ticket.
    Submit(NodeId, u64, Version),
    /// All records up to this number are synced to disk.
    Synced(u64),
    /// Time has passed; due at [`Controller::next_at`].
    Tick,
}

/// Effect that the caller of a [`Controller`] carries out, in the order given.
#[derive(Debug)]
pub enum Output {
    /// Result of a membership change: its log index, or why it failed.
    Changed(u64, Result<Index, String>),
    /// A configuration is committed and now in force, the newest of those that the input committed.
    Committed(Version),
    /// `true` after a majority has confirmed that this replica leads, `false` after it stepped down
    /// or the confirmation was refused.
    Leadership(bool),
    /// A snapshot has replaced the whole state.
    SnapshotInstalled,
    /// Records to write and sync; report their number as [`Input::Synced`] afterwards.
    Persist(u64, Vec<Record>),
    /// Frame to send.
    Send(NodeId, Box<Frame>),
    /// This replica's role and term after it won or lost leadership.
    RoleChanged(quorum::Role, u64),
    /// A committed entry changed the table of upstreams.
    UpstreamsChanged(Vec<Action>),
}

/// What a ticket given to the replica stands for.
#[derive(Clone, Debug)]
enum Proposal {
    Catalog {
        from: NodeId,
        ticket: u64,
    },
    Change(u64),
    Claims,
    LeadershipCheck,
    /// Processes that forwarded the demands, with their tickets.
    Quota(Vec<(NodeId, u64)>),
    Read {
        from: NodeId,
        ticket: u64,
    },
    Submit {
        from: NodeId,
        ticket: u64,
        version: Version,
    },
}

impl Controller {
    /// Creates a controller from the state recovered from its data folder. `seed` has to be random
    /// in a process: election timeouts and the identity of a new data folder are drawn from it.
    pub fn new(setup: quorum::Setup, recovered: Recovered, seed: u64) -> Self {
        Self {
            applied: 0,
            submissions: Submissions::default(),
            catalog: Catalog::default(),
            claim_batcher: Batcher::default(),
            claim_batches: 0,
            leader_since: Moment::ZERO,
            is_leader: false,
            claim_ledger: Ledger::new(claim::Limits::default()),
            quota_replies: BTreeMap::new(),
            quota_coordinator: Coordinator::new(quota::Config::default().window),
            next_ticket: 0,
            leadership_check_at: Moment::ZERO,
            proposals: BTreeMap::new(),
            quota_ledger: quota::Ledger::default(),
            replica: Replica::new(setup, recovered, seed),
            catalog_replies: BTreeMap::new(),
            config_replies: BTreeMap::new(),
            returns: Returns::default(),
            backlog: Backlog::default(),
        }
    }

    /// Sets the window over which quota allowances are counted.
    pub fn with_quota_window(self, window: Duration) -> Self {
        Self { quota_coordinator: Coordinator::new(window), ..self }
    }

    /// Processes one input and returns the resulting effects.
    pub fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let before = self.number_in_force();
        match input {
            Input::Catalog(from, ticket, actions) => {
                let proposal = Proposal::Catalog { from, ticket };
                self.propose_catalog(now, wall, proposal, actions, &mut outputs);
            }
            Input::Change(ticket, change) => {
                let ticket = self.track(Proposal::Change(ticket));
                self.step_replica(now, quorum::Input::Change { ticket, change }, &mut outputs);
            }
            Input::Claims(from, actions) => self.queue_claims(from, actions, &mut outputs),
            Input::Receive(from, message) => {
                self.step_replica(now, quorum::Input::Receive { from, message }, &mut outputs);
            }
            Input::Quota(from, ticket, demand) => {
                self.queue_demand(now, from, ticket, demand, &mut outputs);
            }
            Input::Read(from, ticket) => self.read(now, from, ticket, &mut outputs),
            Input::Submit(from, ticket, version) => {
                self.submit(now, wall, Proposal::Submit { from, ticket, version }, &mut outputs);
            }
            Input::Synced(number) => {
                self.step_replica(now, quorum::Input::Synced { number }, &mut outputs);
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        self.propose_claims(now, wall, &mut outputs);
        self.propose_quotas(now, wall, &mut outputs);
        self.compact_log(now, &mut outputs);
        if self.number_in_force() != before {
            outputs.splice(..0, self.in_force().cloned().map(Output::Committed));
        }
        outputs
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_at(&self) -> Option<Moment> {
        let quota_at =
            self.is_leader.then(|| self.quota_coordinator.wake(&self.quota_ledger)).flatten();
        self.replica.next_at().into_iter().chain(quota_at).min()
    }

    /// Status of the log, for operators.
    pub fn status(&self, now: Moment) -> quorum::Status {
        self.replica.status(now)
    }

    /// The configuration in force, as of the entries applied here.
    pub fn in_force(&self) -> Option<&Version> {
        self.submissions.in_force()
    }

    fn number_in_force(&self) -> Option<ConfigNumber> {
        self.in_force().map(|version| version.number)
    }

    /// Number of claims in the ledger.
    pub fn remembered_claims(&self) -> usize {
        self.claim_ledger.len()
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.step_replica(now, quorum::Input::Tick, outputs);
        if self.is_leader && self.leadership_check_at <= now {
            self.leadership_check_at = now + LEADERSHIP_CHECK_INTERVAL;
            let ticket = self.track(Proposal::LeadershipCheck);
            self.step_replica(now, quorum::Input::Read { ticket }, outputs);
        }
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<NodeId> {
        self.replica.leader().cloned()
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Index of the last applied log entry.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The table of upstreams.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How long this replica has led without interruption; zero if it does not lead.
    pub fn tenure(&self, now: Moment) -> Duration {
        if self.is_leader { now.saturating_sub(self.leader_since) } else { Duration::ZERO }
    }

    fn propose(
        &mut self,
        now: Moment,
        wall: Epoch,
        proposal: Proposal,
        body: Body,
        outputs: &mut Vec<Output>,
    ) {
        let Ok(command) = postcard::to_stdvec(&Command { at: wall, body }) else { return };
        let ticket = self.track(proposal);
        self.step_replica(now, quorum::Input::Propose { ticket, command }, outputs);
    }

    /// Remembers a proposal under a new ticket.
    fn track(&mut self, proposal: Proposal) -> u64 {
        self.next_ticket += 1;
        self.proposals.insert(self.next_ticket, proposal);
        self.next_ticket
    }

    fn step_replica(&mut self, now: Moment, input: quorum::Input, outputs: &mut Vec<Output>) {
        for output in self.replica.handle(now, input) {
            self.handle_output(now, output, outputs);
        }
    }

    fn handle_output(&mut self, now: Moment, output: quorum::Output, outputs: &mut Vec<Output>) {
        match output {
            quorum::Output::Accepted { ticket, index } => {
                self.handle_accepted(ticket, index, outputs);
            }
            quorum::Output::BecameLeader { term } => {
                self.is_leader = true;
                self.leader_since = now;
                outputs.push(Output::RoleChanged(quorum::Role::Leader, term));
            }
            quorum::Output::Changed { .. } => (),
            quorum::Output::Commit { index, command, .. } => self.apply(index, &command, outputs),
            quorum::Output::Install { snapshot } => self.install(&snapshot, outputs),
            quorum::Output::Persist { number, records } => {
                outputs.push(Output::Persist(number, records));
            }
            quorum::Output::Readable { ticket } => match self.proposals.remove(&ticket) {
                Some(Proposal::Read { from, ticket }) => {
                    outputs.push(verdict_output(&from, ticket, Verdict::Readable(self.applied)));
                }
                _ => outputs.push(Output::Leadership(self.is_leader)),
            },
            quorum::Output::Refused { ticket, reason, leader } => {
                self.handle_refused(ticket, reason, leader, outputs);
            }
            quorum::Output::Send { to, message } => {
                outputs.push(Output::Send(to, Box::new(Frame::Quorum(message))));
            }
            quorum::Output::SteppedDown { term } => {
                self.is_leader = false;
                self.claim_batches = 0;
                self.claim_batcher.clear();
                self.quota_coordinator.clear();
                self.quota_replies.clear();
                self.catalog_replies.clear();
                self.returns.clear();
                outputs.push(Output::Leadership(false));
                outputs.push(Output::RoleChanged(quorum::Role::Follower, term));
            }
            quorum::Output::Uncertain { ticket } => self.handle_uncertain(ticket, outputs),
        }
    }

    /// Applies a committed command. This must be deterministic, since every replica does it.
    fn apply(&mut self, index: Index, command: &[u8], outputs: &mut Vec<Output>) {
        self.applied = index;
        self.backlog.add(command.len());
        let Ok(command) = postcard::from_bytes::<Command>(command) else { return };
        match command.body {
            Body::Catalog(action) => self.apply_catalog(index, vec![action], outputs),
            Body::Catalogs(actions) => self.apply_catalog(index, actions, outputs),
            Body::Claims(claims) => {
                let replies = self.claim_ledger.apply(command.at, claims.clone());
                if self.is_leader {
                    let receipts = Batcher::receipts(&claims, replies).into_iter();
                    let frames = receipts.map(|(to, message)| (to, Frame::Claim(message)));
                    outputs.extend(frames.map(|(to, frame)| Output::Send(to, Box::new(frame))));
                }
            }
            Body::Quota(actions) => {
                let grants = actions.iter().map(|action| self.quota_ledger.apply(action)).collect();
                if self.is_leader {
                    self.quota_replies.insert(index, grants);
                    self.quota_replies.retain(|at, _| index - at < REPLIES_MAX);
                }
            }
            Body::Config(change) => {
                let before = self.number_in_force();
                self.backlog.add_change();
                let reply = self.submissions.apply(command.at, change);
                if self.is_leader {
                    self.config_replies.insert(index, verdict_for(reply, before));
                    self.config_replies.retain(|at, _| index - at < REPLIES_MAX);
                }
            }
        }
    }
}
