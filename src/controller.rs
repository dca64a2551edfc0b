//! State that controls replicate: a replica of the quorum log, and what its committed entries produce.

pub(crate) mod forwarder;
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
use crate::config;
use crate::config::Patch;
use crate::config::Submissions;
use crate::config::Version;
use crate::id::Index;
use crate::id::NodeId;
use crate::quorum;
use crate::quorum::Record;
use crate::quorum::Recovered;
use crate::quorum::Replica;
use crate::quota;
use crate::quota::Coordinator;
use crate::registry::State;
use crate::wire::Frame;
use crate::wire::Verdict;

use self::snapshot::Body;
use self::snapshot::Command;
use self::snapshot::Snapshot;

/// Log entries applied between two snapshots; a restart replays at most these.
const SNAPSHOT_INTERVAL: Index = 5_000;
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
    /// Log index of the last snapshot.
    snapshot_index: Index,
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
    /// A configuration is committed and now in force.
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
            snapshot_index: 0,
        }
    }

    /// Sets the window over which quota allowances are counted.
    pub fn with_quota_window(self, window: Duration) -> Self {
        Self { quota_coordinator: Coordinator::new(window), ..self }
    }

    /// Processes one input and returns the resulting effects.
    pub fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
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

    fn queue_claims(
        &mut self,
        from: NodeId,
        actions: Vec<claim::Action>,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_leader {
            self.claim_batcher.push(&from, actions);
            return;
        }
        let message = claim::Message::Redirect(self.leader());
        outputs.push(Output::Send(from, Box::new(Frame::Claim(message))));
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

    /// Proposes changes of the table of upstreams.
    fn propose_catalog(
        &mut self,
        now: Moment,
        wall: Epoch,
        proposal: Proposal,
        actions: Vec<Action>,
        outputs: &mut Vec<Output>,
    ) {
        let Proposal::Catalog { from, ticket } = &proposal else { return };
        if !self.is_leader {
            outputs.push(verdict_output(from, *ticket, Verdict::NotLeader(self.leader())));
            return;
        }
        let actions: Vec<Action> =
            actions.into_iter().map(|action| self.detect_return(now, action)).collect();
        let outcomes: Vec<Outcome> =
            actions.iter().map(|action| self.catalog.outcome(action)).collect();
        let needs_commit =
            actions.iter().zip(&outcomes).any(|(action, outcome)| action.needs_commit(*outcome));
        if needs_commit {
            self.propose(now, wall, proposal, Body::Catalogs(actions), outputs);
        } else {
            outputs.push(verdict_output(from, *ticket, Verdict::Recorded(outcomes)));
        }
    }

    /// Turns an announcement that the table holds to be old into a return if its sender is alive.
    fn detect_return(&mut self, now: Moment, action: Action) -> Action {
        let is_stale = matches!(self.catalog.outcome(&action), Outcome::Stale(_));
        match action {
            Action::Announce(change)
                if is_stale
                    && change.announcement.state == State::Ready
                    && self.returns.hear(now, &change) =>
            {
                Action::Return(change)
            }
            action => action,
        }
    }

    fn read(&mut self, now: Moment, from: NodeId, ticket: u64, outputs: &mut Vec<Output>) {
        let ticket = self.track(Proposal::Read { from, ticket });
        self.step_replica(now, quorum::Input::Read { ticket }, outputs);
    }

    /// Proposes a configuration, as a patch to the one in force where that is smaller.
    fn submit(&mut self, now: Moment, wall: Epoch, proposal: Proposal, outputs: &mut Vec<Output>) {
        let Proposal::Submit { from, ticket, version } = &proposal else { return };
        if !self.is_leader {
            let verdict = Verdict::NotLeader(self.leader());
            outputs.push(verdict_output(from, *ticket, verdict));
            return;
        }
        let command = match self.submissions.in_force() {
            Some(base) => smaller_command(Patch::between(base, version), version),
            None => config::Command::Submit(version.clone()),
        };
        self.propose(now, wall, proposal, Body::Config(command), outputs);
    }

    fn propose_claims(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        while self.is_leader && self.claim_batches < CLAIM_BATCHES_MAX {
            let Some(command) = self.claim_batcher.take() else { return };
            self.claim_batches += 1;
            self.propose(now, wall, Proposal::Claims, Body::Claims(command), outputs);
        }
    }

    fn queue_demand(
        &mut self,
        now: Moment,
        from: NodeId,
        ticket: u64,
        demand: quota::Demand,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_leader {
            self.quota_coordinator.push(now, from, ticket, demand);
        } else {
            outputs.push(verdict_output(&from, ticket, Verdict::NotLeader(self.leader())));
        }
    }

    fn propose_quotas(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        if !self.is_leader {
            return;
        }
        let (pending, mut actions) = self.quota_coordinator.take(now, &self.quota_ledger);
        let mut requesters = Vec::with_capacity(pending.len());
        for (from, ticket, demand) in pending {
            requesters.push((from, ticket));
            actions.push(quota::Action::Ask(demand));
        }
        if !actions.is_empty() {
            self.propose(now, wall, Proposal::Quota(requesters), Body::Quota(actions), outputs);
        }
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
                let before = self.submissions.in_force().map(|version| version.number);
                let reply = self.submissions.apply(command.at, change);
                let now =
                    self.submissions.in_force().filter(|version| Some(version.number) != before);
                outputs.extend(now.cloned().map(Output::Committed));
                if self.is_leader {
                    self.config_replies.insert(index, verdict_for(reply, before));
                    self.config_replies.retain(|at, _| index - at < REPLIES_MAX);
                }
            }
        }
    }

    fn apply_catalog(&mut self, index: Index, actions: Vec<Action>, outputs: &mut Vec<Output>) {
        let mut outcomes = Vec::with_capacity(actions.len());
        let mut changed = Vec::new();
        for action in actions {
            let outcome = self.apply_event(index, &action);
            outcomes.push(outcome);
            if outcome.is_changed() {
                changed.push(action);
            }
        }
        if self.is_leader {
            self.catalog_replies.insert(index, outcomes);
            self.catalog_replies.retain(|at, _| index - at < REPLIES_MAX);
        }
        if !changed.is_empty() {
            outputs.push(Output::UpstreamsChanged(changed));
        }
    }

    /// Applies one event about an upstream, and logs whose address the upstream takes over.
    fn apply_event(&mut self, index: Index, action: &Action) -> Outcome {
        let others = match action {
            Action::Announce(change) | Action::Return(change) => {
                self.catalog.others_at_address(&change.announcement)
            }
            Action::Depart(_) | Action::Leave(_) => Vec::new(),
        };
        let outcome = self.catalog.apply(index, action);
        for other in others.iter().filter(|id| self.catalog.get(id).is_none()) {
            let upstream = action.upstream();
            tracing::info!(target: "hemlockfield::catalog", %upstream, %other, "address taken over");
        }
        outcome
    }

    fn handle_accepted(&mut self, ticket: u64, index: Index, outputs: &mut Vec<Output>) {
        let verdict = self.config_replies.remove(&index);
        match self.proposals.remove(&ticket) {
            Some(Proposal::Catalog { from, ticket }) => {
                let outcomes = self.catalog_replies.remove(&index).unwrap_or_default();
                outputs.push(verdict_output(&from, ticket, Verdict::Recorded(outcomes)));
            }
            Some(Proposal::Change(ticket)) => outputs.push(Output::Changed(ticket, Ok(index))),
            Some(Proposal::Claims) => self.claim_batches = self.claim_batches.saturating_sub(1),
            Some(Proposal::Submit { from, ticket, .. }) => {
                let verdict = verdict.unwrap_or(Verdict::Unconfirmed);
                outputs.push(verdict_output(&from, ticket, verdict));
            }
            Some(Proposal::Quota(requesters)) => {
                let grants = self.quota_replies.remove(&index).unwrap_or_default();
                outputs.extend(grant_outputs(requesters, grants));
            }
            Some(Proposal::LeadershipCheck | Proposal::Read { .. }) | None => (),
        }
    }

    fn handle_refused(
        &mut self,
        ticket: u64,
        reason: quorum::Reason,
        leader: Option<NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        match self.proposals.remove(&ticket) {
            Some(Proposal::Change(ticket)) => {
                let text = match leader {
                    Some(leader) => format!("{reason:?}; `{leader}` leads"),
                    None => format!("{reason:?}"),
                };
                outputs.push(Output::Changed(ticket, Err(text)));
            }
            Some(Proposal::Claims) => self.claim_batches = self.claim_batches.saturating_sub(1),
            Some(Proposal::LeadershipCheck) => outputs.push(Output::Leadership(false)),
            Some(Proposal::Quota(requesters)) => {
                let verdict = |(to, ticket): &(NodeId, u64)| {
                    verdict_output(to, *ticket, Verdict::NotLeader(leader.clone()))
                };
                outputs.extend(requesters.iter().map(verdict));
            }
            Some(
                Proposal::Catalog { from, ticket }
                | Proposal::Read { from, ticket }
                | Proposal::Submit { from, ticket, .. },
            ) => outputs.push(verdict_output(&from, ticket, Verdict::NotLeader(leader))),
            None => (),
        }
    }

    /// Handles a proposal that may or may not be committed. The process that forwarded it sends it
    /// again, which is safe since submissions and announcements are idempotent.
    fn handle_uncertain(&mut self, ticket: u64, outputs: &mut Vec<Output>) {
        match self.proposals.remove(&ticket) {
            Some(
                Proposal::Catalog { from, ticket }
                | Proposal::Read { from, ticket }
                | Proposal::Submit { from, ticket, .. },
            ) => {
                let verdict = Verdict::NotLeader(self.leader());
                outputs.push(verdict_output(&from, ticket, verdict));
            }
            Some(Proposal::Change(ticket)) => {
                let text = "leadership was lost; look at the status and ask again".to_owned();
                outputs.push(Output::Changed(ticket, Err(text)));
            }
            Some(Proposal::Claims) => self.claim_batches = self.claim_batches.saturating_sub(1),
            // Entries repeat their demands, and a demand already in the log is answered again.
            Some(Proposal::LeadershipCheck | Proposal::Quota(_)) | None => (),
        }
    }

    fn install(&mut self, snapshot: &quorum::Snapshot, outputs: &mut Vec<Output>) {
        let Some(state) = Snapshot::decode(&snapshot.bytes) else {
            tracing::error!(target: "hemlockfield::quorum", "snapshot can't be decoded");
            return;
        };
        self.submissions = state.book;
        self.catalog = state.catalog;
        self.claim_ledger = state.ledger;
        self.quota_ledger = state.quotas;
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        outputs.extend(self.submissions.in_force().cloned().map(Output::Committed));
        outputs.push(Output::SnapshotInstalled);
    }

    /// Takes a snapshot if enough entries were applied since the last, so that the log can be
    /// truncated.
    fn compact_log(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.applied < self.snapshot_index + SNAPSHOT_INTERVAL {
            return;
        }
        self.snapshot_index = self.applied;
        let encoded = Snapshot::encode(
            &self.submissions,
            &self.claim_ledger,
            &self.catalog,
            &self.quota_ledger,
        );
        let Some(bytes) = encoded else { return };
        let index = self.applied;
        self.step_replica(now, quorum::Input::Snapshot { index, bytes }, outputs);
    }
}

fn smaller_command(patch: Patch, version: &Version) -> config::Command {
    let size = postcard::to_stdvec(&patch).map_or(usize::MAX, |bytes| bytes.len());
    if size < version.document.len() {
        return config::Command::Amend(patch);
    }
    config::Command::Submit(version.clone())
}

fn verdict_for(reply: config::Reply, before: Option<u64>) -> Verdict {
    match reply {
        config::Reply::Accepted(head) if Some(head.number) <= before => {
            Verdict::AlreadyAccepted(head.number)
        }
        config::Reply::Accepted(head) => Verdict::Accepted(head.number),
        config::Reply::Rebase => Verdict::NotLeader(None),
        config::Reply::Refused { number, submission } => Verdict::Refused { number, submission },
        config::Reply::Reused(head) => Verdict::Reused(head.number),
    }
}

/// Answers the demands of a log entry. The entry may contain other actions; the demands are its
/// last ones.
fn grant_outputs(requesters: Vec<(NodeId, u64)>, grants: Vec<Option<quota::Grant>>) -> Vec<Output> {
    let first = grants.len().saturating_sub(requesters.len());
    let answers = requesters.into_iter().zip(grants.into_iter().skip(first));
    let answer = |((to, ticket), grant): ((NodeId, u64), Option<quota::Grant>)| {
        Some(verdict_output(&to, ticket, Verdict::Granted(grant?)))
    };
    answers.filter_map(answer).collect()
}

fn verdict_output(to: &NodeId, ticket: u64, verdict: Verdict) -> Output {
    Output::Send(to.clone(), Box::new(Frame::Verdict { ticket, verdict }))
}
