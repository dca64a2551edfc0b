use std::collections::BTreeMap;
use std::time::Duration;

use crate::catalog;
use crate::catalog::Catalog;
use crate::claim;
use crate::claim::Batcher;
use crate::claim::Ledger;
use crate::clock::Epoch;
use crate::clock::Moment;
use crate::config;
use crate::config::Book;
use crate::config::Patch;
use crate::config::Version;
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

use super::snapshot::Body;
use super::snapshot::Command;
use super::snapshot::Image;

/// Applied entries after which the log is shortened: a restart replays at most these.
const SNAPSHOT_AFTER: Index = 5_000;
/// Groups of claims that may be on their way to the disks at a time: while one is
/// synced, the next is sent.
const GROUPS_MAX: usize = 2;
/// Positions for which a reply waits to be asked for: those that an earlier leader
/// proposed have nobody who asks.
const REPLIES_MAX: Index = 1_000;
/// How often a leader proves that it still leads, for those who ask what is in force.
const PROOF_PERIOD: Duration = Duration::from_secs(1);

/// A control's part: the quorum log and what it has brought about.
#[derive(Debug)]
pub struct Office {
    applied: Index,
    book: Book,
    catalog: Catalog,
    configured: Index,
    batcher: Batcher,
    groups: usize,
    led_since: Moment,
    leads: bool,
    ledger: Ledger,
    next_ticket: u64,
    /// Gathers what entries ask of allowances.
    keeper: Coordinator,
    proof_at: Moment,
    proposals: BTreeMap<u64, Proposal>,
    /// Answers to what entries asked, by the position of the record.
    granted: BTreeMap<Index, Vec<Option<quota::Grant>>>,
    quotas: quota::Ledger,
    replica: Replica,
    replies: BTreeMap<Index, Verdict>,
    snapshot_at: Index,
}

/// What an office is told.
#[derive(Debug)]
pub enum Input {
    /// What an upstream said, from a control with its ticket.
    Catalog(NodeId, u64, catalog::Action),
    /// Change of the controls' membership, with the operator's ticket.
    Change(u64, quorum::Change),
    /// Claims of an entry.
    Claims(NodeId, Vec<claim::Action>),
    /// Message of another replica.
    Receive(NodeId, quorum::Message),
    /// An entry wants other parts of allowances, by way of a process and its ticket.
    Quota(NodeId, u64, quota::Demand),
    /// A control asks up to which index it has to know the log, with its ticket.
    Read(NodeId, u64),
    /// Submission of an operator, by way of a process and its ticket.
    Submit(NodeId, u64, Version),
    /// Records up to this number are on disk.
    Synced(u64),
    /// Time has passed.
    Tick,
}

/// What an office wants done, in this order.
#[derive(Debug)]
pub enum Output {
    /// Answer to a change of the membership.
    Changed(u64, Result<Index, String>),
    /// A configuration is committed.
    Committed(Version),
    /// This replica has proved that it leads, or leads no more.
    Leads(bool),
    /// The table of upstreams was replaced by a snapshot's.
    Installed,
    /// Records to write and sync.
    Persist(u64, Vec<Record>),
    /// Frame to send.
    Send(NodeId, Box<Frame>),
    /// This replica leads from this term on, or no more.
    Term(quorum::Role, u64),
    /// The log said something new about an upstream.
    Upstream(catalog::Action),
}

#[derive(Clone, Debug)]
enum Proposal {
    Catalog {
        from: NodeId,
        ticket: u64,
    },
    Change(u64),
    Claims,
    Proof,
    /// Processes that asked, with their tickets.
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

impl Office {
    /// Office over what its data folder still knows.
    pub fn new(setup: quorum::Setup, recovered: Recovered, seed: u64) -> Self {
        Self {
            applied: 0,
            book: Book::default(),
            catalog: Catalog::default(),
            configured: 0,
            batcher: Batcher::default(),
            groups: 0,
            led_since: Moment::ZERO,
            leads: false,
            ledger: Ledger::new(claim::Limits::default()),
            granted: BTreeMap::new(),
            keeper: Coordinator::new(quota::Config::default().window),
            next_ticket: 0,
            proof_at: Moment::ZERO,
            proposals: BTreeMap::new(),
            quotas: quota::Ledger::default(),
            replica: Replica::new(setup, recovered, seed),
            replies: BTreeMap::new(),
            snapshot_at: 0,
        }
    }

    /// The same, counting allowances over windows of this length.
    pub fn with_window(self, window: Duration) -> Self {
        Self { keeper: Coordinator::new(window), ..self }
    }

    /// Takes one input, and says what to do about it.
    pub fn handle(&mut self, now: Moment, wall: Epoch, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Catalog(from, ticket, action) => {
                let proposal = Proposal::Catalog { from, ticket };
                self.announce(now, wall, proposal, action, &mut outputs);
            }
            Input::Change(ticket, change) => {
                let ticket = self.note(Proposal::Change(ticket));
                self.tell(now, quorum::Input::Change { ticket, change }, &mut outputs);
            }
            Input::Claims(from, actions) => self.claims(from, actions, &mut outputs),
            Input::Receive(from, message) => {
                self.tell(now, quorum::Input::Receive { from, message }, &mut outputs);
            }
            Input::Quota(from, ticket, ask) => self.quota(now, from, ticket, ask, &mut outputs),
            Input::Read(from, ticket) => self.read(now, from, ticket, &mut outputs),
            Input::Submit(from, ticket, version) => {
                self.submit(now, wall, Proposal::Submit { from, ticket, version }, &mut outputs);
            }
            Input::Synced(number) => {
                self.tell(now, quorum::Input::Synced { number }, &mut outputs);
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        self.propose_claims(now, wall, &mut outputs);
        self.propose_quotas(now, wall, &mut outputs);
        self.shorten(now, &mut outputs);
        outputs
    }

    /// When the next [`Input::Tick`] is due.
    pub fn wake(&self) -> Option<Moment> {
        let keeper = self.leads.then(|| self.keeper.wake(&self.quotas)).flatten();
        self.replica.next_at().into_iter().chain(keeper).min()
    }

    /// What operators see of the log.
    pub fn status(&self, now: Moment) -> quorum::Status {
        self.replica.status(now)
    }

    /// What is in force as far as this replica has applied the log.
    pub fn in_force(&self) -> Option<&Version> {
        self.book.in_force()
    }

    /// Keys remembered.
    pub fn claims_kept(&self) -> usize {
        self.ledger.len()
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.tell(now, quorum::Input::Tick, outputs);
        if self.leads && self.proof_at <= now {
            self.proof_at = now + PROOF_PERIOD;
            let ticket = self.note(Proposal::Proof);
            self.tell(now, quorum::Input::Read { ticket }, outputs);
        }
    }

    fn claims(&mut self, from: NodeId, actions: Vec<claim::Action>, outputs: &mut Vec<Output>) {
        if self.leads {
            self.batcher.push(&from, actions);
            return;
        }
        let message = claim::Message::Redirect(self.leader());
        outputs.push(Output::Send(from, Box::new(Frame::Claim(message))));
    }

    /// The control that leads, as far as this one knows.
    pub fn leader(&self) -> Option<NodeId> {
        self.replica.leader().cloned()
    }

    /// Whether this control leads.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Index of the log up to which all is applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The table of upstreams.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The configuration in force, and the index since which it is.
    pub fn configuration(&self) -> Option<(&Version, Index)> {
        self.book.in_force().map(|version| (version, self.configured))
    }

    /// The log's replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How long this control has led.
    pub fn tenure(&self, now: Moment) -> Duration {
        if self.leads { now.saturating_sub(self.led_since) } else { Duration::ZERO }
    }

    fn announce(
        &mut self,
        now: Moment,
        wall: Epoch,
        proposal: Proposal,
        action: catalog::Action,
        outputs: &mut Vec<Output>,
    ) {
        let Proposal::Catalog { from, ticket } = &proposal else { return };
        if !self.leads {
            outputs.push(verdict_to(from, *ticket, Verdict::NotLeader(self.leader())));
        } else if self.catalog.is_news(&action) {
            self.propose(now, wall, proposal, Body::Catalog(action), outputs);
        } else {
            // What the table holds is committed already.
            outputs.push(verdict_to(from, *ticket, Verdict::Announced));
        }
    }

    fn read(&mut self, now: Moment, from: NodeId, ticket: u64, outputs: &mut Vec<Output>) {
        let ticket = self.note(Proposal::Read { from, ticket });
        self.tell(now, quorum::Input::Read { ticket }, outputs);
    }

    /// Proposes a configuration as a difference where that is smaller.
    fn submit(&mut self, now: Moment, wall: Epoch, proposal: Proposal, outputs: &mut Vec<Output>) {
        let Proposal::Submit { from, ticket, version } = &proposal else { return };
        if !self.leads {
            let verdict = Verdict::NotLeader(self.leader());
            outputs.push(verdict_to(from, *ticket, verdict));
            return;
        }
        let command = match self.book.in_force() {
            Some(base) => smaller(Patch::between(base, version), version),
            None => config::Command::Submit(version.clone()),
        };
        self.propose(now, wall, proposal, Body::Config(command), outputs);
    }

    fn propose_claims(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        while self.leads && self.groups < GROUPS_MAX {
            let Some(command) = self.batcher.take() else { return };
            self.groups += 1;
            self.propose(now, wall, Proposal::Claims, Body::Claims(command), outputs);
        }
    }

    fn quota(
        &mut self,
        now: Moment,
        from: NodeId,
        ticket: u64,
        ask: quota::Demand,
        outputs: &mut Vec<Output>,
    ) {
        if self.leads {
            self.keeper.push(now, from, ticket, ask);
        } else {
            outputs.push(verdict_to(&from, ticket, Verdict::NotLeader(self.leader())));
        }
    }

    fn propose_quotas(&mut self, now: Moment, wall: Epoch, outputs: &mut Vec<Output>) {
        if !self.leads {
            return;
        }
        let (waiting, mut actions) = self.keeper.take(now, &self.quotas);
        let mut who = Vec::with_capacity(waiting.len());
        for (from, ticket, ask) in waiting {
            who.push((from, ticket));
            actions.push(quota::Action::Ask(ask));
        }
        if !actions.is_empty() {
            self.propose(now, wall, Proposal::Quota(who), Body::Quota(actions), outputs);
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
        let ticket = self.note(proposal);
        self.tell(now, quorum::Input::Propose { ticket, command }, outputs);
    }

    fn note(&mut self, proposal: Proposal) -> u64 {
        self.next_ticket += 1;
        self.proposals.insert(self.next_ticket, proposal);
        self.next_ticket
    }

    fn tell(&mut self, now: Moment, input: quorum::Input, outputs: &mut Vec<Output>) {
        for output in self.replica.handle(now, input) {
            self.carry_out(now, output, outputs);
        }
    }

    fn carry_out(&mut self, now: Moment, output: quorum::Output, outputs: &mut Vec<Output>) {
        match output {
            quorum::Output::Accepted { ticket, index } => self.accepted(ticket, index, outputs),
            quorum::Output::BecameLeader { term } => {
                self.leads = true;
                self.led_since = now;
                outputs.push(Output::Term(quorum::Role::Leader, term));
            }
            quorum::Output::Changed { .. } => (),
            quorum::Output::Commit { index, command, .. } => self.apply(index, &command, outputs),
            quorum::Output::Install { snapshot } => self.install(&snapshot, outputs),
            quorum::Output::Persist { number, records } => {
                outputs.push(Output::Persist(number, records));
            }
            quorum::Output::Readable { ticket } => match self.proposals.remove(&ticket) {
                Some(Proposal::Read { from, ticket }) => {
                    outputs.push(verdict_to(&from, ticket, Verdict::Readable(self.applied)));
                }
                _ => outputs.push(Output::Leads(self.leads)),
            },
            quorum::Output::Refused { ticket, reason, leader } => {
                self.refused(ticket, reason, leader, outputs);
            }
            quorum::Output::Send { to, message } => {
                outputs.push(Output::Send(to, Box::new(Frame::Quorum(message))));
            }
            quorum::Output::SteppedDown { term } => {
                self.leads = false;
                self.groups = 0;
                self.batcher.clear();
                self.keeper.clear();
                self.granted.clear();
                outputs.push(Output::Leads(false));
                outputs.push(Output::Term(quorum::Role::Follower, term));
            }
            quorum::Output::Uncertain { ticket } => self.uncertain(ticket, outputs),
        }
    }

    /// Applies a committed command; every replica does this alike.
    fn apply(&mut self, index: Index, command: &[u8], outputs: &mut Vec<Output>) {
        self.applied = index;
        let Ok(command) = postcard::from_bytes::<Command>(command) else { return };
        match command.body {
            Body::Catalog(action) => {
                if self.catalog.apply(index, &action) {
                    outputs.push(Output::Upstream(action));
                }
            }
            Body::Claims(claims) => {
                let replies = self.ledger.apply(command.at, claims.clone());
                if self.leads {
                    let receipts = Batcher::receipts(&claims, replies).into_iter();
                    let frames = receipts.map(|(to, message)| (to, Frame::Claim(message)));
                    outputs.extend(frames.map(|(to, frame)| Output::Send(to, Box::new(frame))));
                }
            }
            Body::Quota(actions) => {
                let granted = actions.iter().map(|action| self.quotas.apply(action)).collect();
                if self.leads {
                    self.granted.insert(index, granted);
                    self.granted.retain(|at, _| index - at < REPLIES_MAX);
                }
            }
            Body::Config(change) => {
                let before = self.book.in_force().map(|version| version.number);
                let reply = self.book.apply(command.at, change);
                let now = self.book.in_force().filter(|version| Some(version.number) != before);
                if now.is_some() {
                    self.configured = index;
                }
                outputs.extend(now.cloned().map(Output::Committed));
                if self.leads {
                    self.replies.insert(index, verdict(reply, before));
                    self.replies.retain(|at, _| index - at < REPLIES_MAX);
                }
            }
        }
    }

    fn accepted(&mut self, ticket: u64, index: Index, outputs: &mut Vec<Output>) {
        let verdict = self.replies.remove(&index);
        match self.proposals.remove(&ticket) {
            Some(Proposal::Catalog { from, ticket }) => {
                outputs.push(verdict_to(&from, ticket, Verdict::Announced));
            }
            Some(Proposal::Change(ticket)) => outputs.push(Output::Changed(ticket, Ok(index))),
            Some(Proposal::Claims) => self.groups = self.groups.saturating_sub(1),
            Some(Proposal::Submit { from, ticket, .. }) => {
                let verdict = verdict.unwrap_or(Verdict::Unconfirmed);
                outputs.push(verdict_to(&from, ticket, verdict));
            }
            Some(Proposal::Quota(who)) => {
                let granted = self.granted.remove(&index).unwrap_or_default();
                outputs.extend(grants(who, granted));
            }
            Some(Proposal::Proof | Proposal::Read { .. }) | None => (),
        }
    }

    fn refused(
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
            Some(Proposal::Claims) => self.groups = self.groups.saturating_sub(1),
            Some(Proposal::Proof) => outputs.push(Output::Leads(false)),
            Some(Proposal::Quota(who)) => {
                let verdict = |(to, ticket): &(NodeId, u64)| {
                    verdict_to(to, *ticket, Verdict::NotLeader(leader.clone()))
                };
                outputs.extend(who.iter().map(verdict));
            }
            Some(
                Proposal::Catalog { from, ticket }
                | Proposal::Read { from, ticket }
                | Proposal::Submit { from, ticket, .. },
            ) => outputs.push(verdict_to(&from, ticket, Verdict::NotLeader(leader))),
            None => (),
        }
    }

    /// The process that asked sends again; its submission id makes that safe.
    fn uncertain(&mut self, ticket: u64, outputs: &mut Vec<Output>) {
        match self.proposals.remove(&ticket) {
            Some(
                Proposal::Catalog { from, ticket }
                | Proposal::Read { from, ticket }
                | Proposal::Submit { from, ticket, .. },
            ) => {
                let verdict = Verdict::NotLeader(self.leader());
                outputs.push(verdict_to(&from, ticket, verdict));
            }
            Some(Proposal::Change(ticket)) => {
                let text = "leadership was lost; look at the status and ask again".to_owned();
                outputs.push(Output::Changed(ticket, Err(text)));
            }
            Some(Proposal::Claims) => self.groups = self.groups.saturating_sub(1),
            // Entries ask again; what is in the log by then is told once more.
            Some(Proposal::Proof | Proposal::Quota(_)) | None => (),
        }
    }

    fn install(&mut self, snapshot: &quorum::Snapshot, outputs: &mut Vec<Output>) {
        let Some(image) = Image::decode(&snapshot.bytes) else {
            tracing::error!(target: "hemlockfield::quorum", "snapshot can't be read");
            return;
        };
        self.book = image.book;
        self.catalog = image.catalog;
        self.configured = snapshot.index;
        self.ledger = image.ledger;
        self.quotas = image.quotas;
        self.applied = snapshot.index;
        self.snapshot_at = snapshot.index;
        outputs.extend(self.book.in_force().cloned().map(Output::Committed));
        outputs.push(Output::Installed);
    }

    fn shorten(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.applied < self.snapshot_at + SNAPSHOT_AFTER {
            return;
        }
        self.snapshot_at = self.applied;
        let image = Image::encode(&self.book, &self.ledger, &self.catalog, &self.quotas);
        let Some(bytes) = image else { return };
        let index = self.applied;
        self.tell(now, quorum::Input::Snapshot { index, bytes }, outputs);
    }
}

fn smaller(patch: Patch, version: &Version) -> config::Command {
    let size = postcard::to_stdvec(&patch).map_or(usize::MAX, |bytes| bytes.len());
    if size < version.document.len() {
        return config::Command::Amend(patch);
    }
    config::Command::Submit(version.clone())
}

fn verdict(reply: config::Reply, before: Option<u64>) -> Verdict {
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

/// Answers to those who asked; theirs are the last of a record's.
fn grants(who: Vec<(NodeId, u64)>, granted: Vec<Option<quota::Grant>>) -> Vec<Output> {
    let first = granted.len().saturating_sub(who.len());
    let answers = who.into_iter().zip(granted.into_iter().skip(first));
    let answer = |((to, ticket), grant): ((NodeId, u64), Option<quota::Grant>)| {
        Some(verdict_to(&to, ticket, Verdict::Granted(grant?)))
    };
    answers.filter_map(answer).collect()
}

fn verdict_to(to: &NodeId, ticket: u64, verdict: Verdict) -> Output {
    Output::Send(to.clone(), Box::new(Frame::Verdict { ticket, verdict }))
}
