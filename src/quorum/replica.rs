//! Replica of the log.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::input::Input;
use super::log::Log;
use super::membership::DiskId;
use super::membership::FOUNDER_DISK;
use super::membership::Membership;
use super::message::Body;
use super::message::Message;
use super::output::Output;
use super::output::Reason;
use super::progress::Leader;
use super::record::Identity;
use super::record::Record;
use super::recovered::Recovered;
use super::setup::Setup;
use super::snapshot::Snapshot;
use super::transfer::Incoming;
use crate::clock::Moment;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

/// Shortest and longest wait, in election timeouts, before a replica that has heard no leader
/// since its start asks for pre-votes. With a timeout of 0.7 s and five replicas started
/// together, the first one asks after 0.2 s instead of 0.8 s.
const FIRST_WAIT_FACTORS: (f64, f64) = (0.2, 0.6);

/// Raft state of a replica, with the data that each state needs.
#[derive(Debug)]
pub(super) enum State {
    Candidate {
        granted: BTreeSet<NodeId>,
        /// Number of the persist that holds its vote for itself.
        vote_persist: u64,
    },
    Follower,
    Leader(Box<Leader>),
    PreCandidate {
        granted: BTreeSet<NodeId>,
    },
}

/// Replica of the log: Raft as a state machine that performs no I/O and reads no clock.
///
/// The caller carries outputs out in their order and reports the results as inputs.
/// After a disk error it drops the replica and creates a new one from the state that
/// is recovered from disk, since records of a `Persist` that was not synced must not
/// stay in memory.
#[derive(Debug)]
pub struct Replica {
    pub(super) commit_index: Index,
    /// Last index that is known to be committed by a majority.
    pub(super) committable_index: Index,
    pub(super) deadline: Option<Moment>,
    pub(super) disk: DiskId,
    /// Last index of this replica's log that is synced.
    pub(super) synced_index: Index,
    pub(super) leader_heard_at: Option<Moment>,
    /// Messages that wait until the persist with this number is synced.
    waiting_messages: VecDeque<(u64, NodeId, Message)>,
    pub(super) incoming: Option<Incoming>,
    /// Number of the newest persist.
    pub(super) last_persist: u64,
    pub(super) leader: Option<NodeId>,
    /// Number of each persist that is not synced yet, with the last index it covers.
    unsynced_persists: VecDeque<(u64, Index)>,
    /// Whether any leader was heard since the start.
    pub(super) has_heard_leader: bool,
    /// Whether the identity of the folder is synced.
    pub(super) is_identity_synced: bool,
    pub(super) now: Moment,
    pub(super) outputs: Vec<Output>,
    random: ChaCha8Rng,
    records: Vec<Record>,
    new_messages: Vec<(NodeId, Message)>,
    pub(super) setup: Setup,
    pub(super) state: State,
    pub(super) synced_persist: u64,
    pub(super) term: Term,
    pub(super) log: Log,
    pub(super) vote: Option<NodeId>,
}

impl Replica {
    /// Creates a replica from the recovered state of its data folder. A process must
    /// take `seed` from the operating system's randomness, since the seed also
    /// determines the identity of a new folder.
    pub fn new(setup: Setup, recovered: Recovered, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut records = Vec::new();
        let is_identity_synced = recovered.identity.is_some();
        let identity = recovered.identity.clone().unwrap_or_else(|| {
            let identity = new_identity(setup.founders.clone(), &mut random);
            records.push(Record::Identity(identity.clone()));
            identity
        });
        let term = recovered.term;
        let vote = recovered.vote.clone();
        let commit_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let outputs = recovered.snapshot.iter().cloned().map(install).collect();
        let log = Log::new(identity.founders, recovered);
        Self {
            commit_index,
            committable_index: commit_index,
            deadline: None,
            disk: identity.disk,
            synced_index: log.last_index(),
            leader_heard_at: None,
            waiting_messages: VecDeque::new(),
            incoming: None,
            last_persist: 0,
            leader: None,
            unsynced_persists: VecDeque::new(),
            has_heard_leader: false,
            is_identity_synced,
            now: Moment::ZERO,
            outputs,
            random,
            records,
            new_messages: Vec::new(),
            setup,
            state: State::Follower,
            synced_persist: 0,
            term,
            log,
            vote,
        }
    }

    /// Handles one input and returns the resulting outputs. The first outputs after a
    /// restart install the snapshot. The commands after it follow as commits once a
    /// leader knows that they are committed.
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
            Input::Snapshot { index, bytes } => {
                // The application may be in the middle of the last outputs: nothing is committed here.
                self.compact(index, bytes);
                return self.flush();
            }
            Input::Synced { number } => self.handle_synced(number),
            Input::Tick => self.tick(),
        }
        self.advance();
        self.flush()
    }

    /// When the next [`Input::Tick`] is due; `None` before the first input.
    pub fn next_at(&self) -> Option<Moment> {
        if self.has_uncommitted() {
            return Some(self.now);
        }
        match &self.state {
            State::Leader(leader) => Some(leader.heartbeat_at),
            _ => self.deadline,
        }
    }

    /// Identity of the data folder.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Current leader, where known.
    pub fn leader(&self) -> Option<&NodeId> {
        match self.state {
            State::Leader(_) => Some(&self.setup.id),
            _ => self.leader.as_ref(),
        }
    }

    /// Whether the replica is in contact with the group: a leader heard a majority, or a
    /// follower heard its leader, within `span` before `now`.
    pub fn is_current(&self, now: Moment, span: Duration) -> bool {
        let State::Leader(leader) = &self.state else {
            return self.leader_heard_at.is_some_and(|at| now < at + span);
        };
        let membership = self.log.membership();
        let heard = membership.voters.keys().filter(|node| {
            let heard = leader.members.get(*node).and_then(|progress| progress.heard);
            **node == self.setup.id || heard.is_some_and(|at| now < at + span)
        });
        heard.count() >= membership.quorum()
    }

    /// Membership of the newest change in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Identity of the data folder, once it is synced.
    pub fn synced_disk(&self) -> Option<DiskId> {
        self.is_identity_synced.then_some(self.disk)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.log.membership().is_voter(&self.setup.id, self.disk)
    }

    pub(super) fn reset_deadline(&mut self) {
        let election = self.setup.timing.election;
        // After all replicas start together, callers are refused until one of them leads.
        // An early pre-vote is safe, since every replica that hears a leader refuses it. An
        // election gets the whole timeout, since disks may be slow.
        let early = !self.has_heard_leader && !matches!(self.state, State::Candidate { .. });
        let (shortest, longest) = if early { FIRST_WAIT_FACTORS } else { (1.0, 2.0) };
        let wait = self.random.random_range(election.mul_f64(shortest)..=election.mul_f64(longest));
        self.deadline = Some(self.now + wait);
    }

    pub(super) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    pub(super) fn record_ballot(&mut self) {
        self.record(Record::Ballot { term: self.term, vote: self.vote.clone() });
    }

    /// Number of the persist that covers the records of the current input.
    pub(super) fn next_persist(&self) -> u64 {
        self.last_persist + u64::from(!self.records.is_empty())
    }

    /// Marks this replica's entries from `index` on as not synced, since they differ from
    /// what was persisted.
    pub(super) fn mark_unsynced_from(&mut self, index: Index) {
        let last = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(last);
        for (_, covered) in &mut self.unsynced_persists {
            *covered = (*covered).min(last);
        }
    }

    /// Sends a message after everything persisted so far, by this input too, is synced.
    /// Otherwise a crash could make the replica forget a vote or an acknowledgement that
    /// others keep counting.
    pub(super) fn send(&mut self, to: &NodeId, disk: DiskId, body: Body) {
        let message = self.message(disk, body);
        self.new_messages.push((to.clone(), message));
    }

    /// Sends a leader's message without waiting for a sync. Entries may be sent before
    /// the leader has synced them: its own copy counts only after the sync, and its term
    /// was synced before it could win the election.
    pub(super) fn send_immediately(&mut self, to: &NodeId, disk: DiskId, body: Body) {
        let message = self.message(disk, body);
        self.outputs.push(Output::Send { to: to.clone(), message });
    }

    pub(super) fn message(&self, to: DiskId, body: Body) -> Message {
        Message { body, disk: self.disk, term: self.term, to }
    }

    pub(super) fn queue_message(&mut self, to: &NodeId, message: Message) {
        self.new_messages.push((to.clone(), message));
    }

    pub(super) fn refuse(&mut self, ticket: u64, reason: Reason) {
        let leader = self.leader.clone();
        self.outputs.push(Output::Refused { ticket, reason, leader });
    }

    fn handle_synced(&mut self, newest: u64) {
        self.synced_persist = self.synced_persist.max(newest.min(self.last_persist));
        self.is_identity_synced |= self.synced_persist > 0;
        while let Some((number, index)) = self.unsynced_persists.front().copied() {
            if number > self.synced_persist {
                break;
            }
            self.synced_index = self.synced_index.max(index);
            self.unsynced_persists.pop_front();
        }
    }

    fn flush(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        if !self.records.is_empty() {
            self.last_persist += 1;
            self.unsynced_persists.push_back((self.last_persist, self.log.last_index()));
            let records = std::mem::take(&mut self.records);
            outputs.push(Output::Persist { number: self.last_persist, records });
        }
        for (to, message) in std::mem::take(&mut self.new_messages) {
            self.waiting_messages.push_back((self.last_persist, to, message));
        }
        outputs.append(&mut self.outputs);
        while self
            .waiting_messages
            .front()
            .is_some_and(|(number, _, _)| *number <= self.synced_persist)
        {
            let Some((_, to, message)) = self.waiting_messages.pop_front() else { break };
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
