//! One replica of the log.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::input::Input;
use super::membership::DiskId;
use super::membership::FOUNDER_DISK;
use super::membership::Membership;
use super::message::Body;
use super::message::Message;
use super::output::Output;
use super::output::Reason;
use super::progress::Lead;
use super::record::Identity;
use super::record::Record;
use super::recovered::Recovered;
use super::setup::Setup;
use super::snapshot::Snapshot;
use super::trail::Trail;
use super::transfer::Incoming;
use crate::clock::Moment;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// Shortest and longest time without a leader after which a replica asks for pre-votes that has
/// met none since its start, in election timeouts. With 0.7 s ones and five replicas started
/// together, the first asks after 0.2 s instead of 0.8 s.
const EARLY: (f64, f64) = (0.2, 0.6);

/// What a replica does at present, with the state that goes with it.
#[derive(Debug)]
pub(super) enum Stance {
    Candidate {
        granted: BTreeSet<NodeId>,
        /// Persist that holds the vote for itself.
        own: u64,
    },
    Follower,
    Leader(Box<Lead>),
    PreCandidate {
        granted: BTreeSet<NodeId>,
    },
}

/// One replica of the log: Raft without socket, disk or clock.
///
/// The caller carries outputs out in their order and feeds back what comes of
/// them. After an error of the disk it drops the replica and builds it anew from
/// what the disk recovers: what was handed to `Persist` and not synced must not
/// stay in memory.
#[derive(Debug)]
pub struct Replica {
    pub(super) commit: Index,
    pub(super) deadline: Option<Moment>,
    pub(super) disk: DiskId,
    /// Last own position that is synced.
    pub(super) durable: Index,
    pub(super) heard_leader: Option<Moment>,
    /// Messages that wait until a persist with this number is synced.
    held: VecDeque<(u64, NodeId, Message)>,
    pub(super) incoming: Option<Incoming>,
    /// Number of the newest persist.
    pub(super) issued: u64,
    pub(super) leader: Option<NodeId>,
    /// Last position at the time of each persist that is not synced yet.
    marks: VecDeque<(u64, Index)>,
    /// Whether a leader was heard since the start.
    pub(super) met_leader: bool,
    /// Whether the identity of the folder is synced.
    pub(super) named: bool,
    pub(super) now: Moment,
    pub(super) outputs: Vec<Output>,
    random: ChaCha8Rng,
    records: Vec<Record>,
    sends: Vec<(NodeId, Message)>,
    pub(super) setup: Setup,
    pub(super) stance: Stance,
    pub(super) synced: u64,
    pub(super) term: Term,
    pub(super) trail: Trail,
    pub(super) vote: Option<NodeId>,
}

impl Replica {
    /// Replica over what its data folder still knows. `seed` must come from the
    /// operating system's randomness in a process: it also names a new folder.
    pub fn new(setup: Setup, recovered: Recovered, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut records = Vec::new();
        let named = recovered.identity.is_some();
        let identity = recovered.identity.clone().unwrap_or_else(|| {
            let identity = new_identity(setup.founders.clone(), &mut random);
            records.push(Record::Identity(identity.clone()));
            identity
        });
        let term = recovered.term;
        let vote = recovered.vote.clone();
        let commit = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let outputs = recovered.snapshot.iter().cloned().map(install).collect();
        let trail = Trail::new(identity.founders, recovered);
        Self {
            commit,
            deadline: None,
            disk: identity.disk,
            durable: trail.last(),
            heard_leader: None,
            held: VecDeque::new(),
            incoming: None,
            issued: 0,
            leader: None,
            marks: VecDeque::new(),
            met_leader: false,
            named,
            now: Moment::ZERO,
            outputs,
            random,
            records,
            sends: Vec::new(),
            setup,
            stance: Stance::Follower,
            synced: 0,
            term,
            trail,
            vote,
        }
    }

    /// Takes one input, and says what to do about it. The first outputs after a
    /// restart install the snapshot; the commands after it come as commits, once
    /// a leader knows that they are committed.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        self.now = now;
        if self.deadline.is_none() {
            self.reset_deadline();
        }
        match input {
            Input::Change { ticket, change } => self.change(ticket, &change),
            Input::Propose { ticket, command } => self.propose(ticket, command),
            Input::Read { ticket } => self.read(ticket),
            Input::Receive { from, message } => self.receive(&from, message),
            Input::Snapshot { index, bytes } => self.snapshot(index, bytes),
            Input::Synced { number } => self.note_synced(number),
            Input::Tick => self.tick(),
        }
        self.advance();
        self.flush()
    }

    /// When the next [`Input::Tick`] is due; `None` before the first input.
    pub fn wake(&self) -> Option<Moment> {
        match &self.stance {
            Stance::Leader(lead) => Some(lead.heartbeat_at),
            _ => self.deadline,
        }
    }

    /// Identity of the data folder.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Who leads, where known.
    pub fn leader(&self) -> Option<&NodeId> {
        match self.stance {
            Stance::Leader(_) => Some(&self.setup.me),
            _ => self.leader.as_ref(),
        }
    }

    /// Whether the log goes on as of just now: a leader that a majority has answered within
    /// `span`, or a follower that has heard from its leader.
    pub fn is_current(&self, now: Moment, span: Duration) -> bool {
        let Stance::Leader(lead) = &self.stance else {
            return self.heard_leader.is_some_and(|at| now < at + span);
        };
        let membership = self.trail.membership();
        let heard = membership.voters.keys().filter(|node| {
            let heard = lead.members.get(*node).and_then(|progress| progress.heard);
            **node == self.setup.me || heard.is_some_and(|at| now < at + span)
        });
        heard.count() >= membership.quorum()
    }

    /// The members as of the last change in the log.
    pub fn membership(&self) -> &Membership {
        self.trail.membership()
    }

    /// Identity of the own disk, once it is on the disk.
    pub fn named_disk(&self) -> Option<DiskId> {
        self.named.then_some(self.disk)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.trail.membership().votes(&self.setup.me, self.disk)
    }

    pub(super) fn reset_deadline(&mut self) {
        let election = self.setup.timing.election;
        // After a start of all replicas nobody leads, and callers are refused until somebody
        // does. Asking early is safe: whoever hears a leader refuses the pre-vote. A vote gets
        // the whole time, since disks may be slow.
        let early = !self.met_leader && !matches!(self.stance, Stance::Candidate { .. });
        let (least, most) = if early { EARLY } else { (1.0, 2.0) };
        let wait = self.random.random_range(election.mul_f64(least)..=election.mul_f64(most));
        self.deadline = Some(self.now + wait);
    }

    pub(super) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    pub(super) fn record_ballot(&mut self) {
        self.record(Record::Ballot { term: self.term, vote: self.vote.clone() });
    }

    /// Number that the persist of the current input will get.
    pub(super) fn next_persist(&self) -> u64 {
        self.issued + u64::from(!self.records.is_empty())
    }

    /// Own positions from `index` on are not what was persisted before.
    pub(super) fn forget_from(&mut self, index: Index) {
        let last = index.saturating_sub(1);
        self.durable = self.durable.min(last);
        for (_, mark) in &mut self.marks {
            *mark = (*mark).min(last);
        }
    }

    /// Sends a message that may only leave when all that was persisted so far,
    /// by this input too, is synced: a vote or an acknowledgement that a crash
    /// makes the replica forget would be counted by others for ever.
    pub(super) fn send(&mut self, to: &NodeId, disk: DiskId, body: Body) {
        let message = self.message(disk, body);
        self.sends.push((to.clone(), message));
    }

    /// Sends a leader's message at once. Entries may leave before the leader has
    /// synced them: its own copy counts only when it is synced, and its term was
    /// synced before it could win.
    pub(super) fn send_early(&mut self, to: &NodeId, disk: DiskId, body: Body) {
        let message = self.message(disk, body);
        self.outputs.push(Output::Send { to: to.clone(), message });
    }

    pub(super) fn message(&self, to: DiskId, body: Body) -> Message {
        Message { body, disk: self.disk, term: self.term, to }
    }

    pub(super) fn push_message(&mut self, to: &NodeId, message: Message) {
        self.sends.push((to.clone(), message));
    }

    pub(super) fn refuse(&mut self, ticket: u64, reason: Reason) {
        let leader = self.leader.clone();
        self.outputs.push(Output::Refused { ticket, reason, leader });
    }

    fn note_synced(&mut self, number: u64) {
        self.synced = self.synced.max(number.min(self.issued));
        self.named |= self.synced > 0;
        while let Some((mark, index)) = self.marks.front().copied() {
            if mark > self.synced {
                break;
            }
            self.durable = self.durable.max(index);
            self.marks.pop_front();
        }
    }

    fn flush(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.records.is_empty() {
            self.issued += 1;
            self.marks.push_back((self.issued, self.trail.last()));
            let records = std::mem::take(&mut self.records);
            outputs.push(Output::Persist { number: self.issued, records });
        }
        for (to, message) in std::mem::take(&mut self.sends) {
            self.held.push_back((self.issued, to, message));
        }
        outputs.append(&mut self.outputs);
        while self.held.front().is_some_and(|(number, _, _)| *number <= self.synced) {
            let Some((_, to, message)) = self.held.pop_front() else { break };
            outputs.push(Output::Send { to, message });
        }
        outputs
    }
}

fn new_identity(founders: Option<Membership>, random: &mut ChaCha8Rng) -> Identity {
    match founders {
        Some(founders) => Identity { disk: FOUNDER_DISK, founders },
        None => {
            let disk = random.random_range(FOUNDER_DISK + 1..=DiskId::MAX);
            Identity { disk, founders: Membership::default() }
        }
    }
}

fn install(snapshot: Arc<Snapshot>) -> Output {
    Output::Install { snapshot }
}
