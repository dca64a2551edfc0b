//! Replication by a leader: heartbeats, append entries and their answers.

use std::collections::BTreeMap;

use super::entry::Entry;
use super::entry::Payload;
use super::message::Body;
use super::output::Output;
use super::output::Reason;
use super::progress::Leader;
use super::progress::Progress;
use super::progress::Read;
use super::record::Record;
use super::replica::Replica;
use super::replica::State;
use crate::clock::Moment;
use crate::id::Index;
use crate::id::NodeId;

impl Replica {
    pub(super) fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let members = BTreeMap::new();
        self.leader = Some(self.setup.id.clone());
        self.has_heard_leader = true;
        self.state = State::Leader(Box::new(Leader {
            first_index: next,
            heartbeat_at: self.now + self.setup.timing.heartbeat,
            heartbeat_commits: (0, 0),
            members,
            pending_bytes: 0,
            reads: Vec::new(),
            round: 0,
            elected_at: self.now,
            tickets: BTreeMap::new(),
        }));
        self.outputs.push(Output::BecameLeader { term: self.term });
        self.update_members();
        self.append(Payload::Blank);
        self.send_heartbeats();
    }

    /// Appends an entry of the current term and returns its index.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, payload };
        if let State::Leader(leader) = &mut self.state {
            leader.pending_bytes += entry.size();
        }
        self.record(Record::Entry(entry.clone()));
        self.log.push(entry);
        index
    }

    pub(super) fn propose(&mut self, ticket: u64, command: Vec<u8>) {
        let State::Leader(leader) = &self.state else {
            return self.refuse(ticket, Reason::NotLeader);
        };
        if leader.pending_bytes > self.setup.limits.pending_bytes {
            return self.refuse(ticket, Reason::Full);
        }
        let index = self.append(Payload::Command(command));
        self.await_commit(ticket, index);
    }

    pub(super) fn await_commit(&mut self, ticket: u64, index: Index) {
        if let State::Leader(leader) = &mut self.state {
            leader.tickets.insert(index, ticket);
        }
        self.replicate();
    }

    /// Queues a read until a majority answers a heartbeat round that starts after it.
    /// Without that round, a leader that doesn't know yet that it was deposed would
    /// answer from an old state.
    pub(super) fn read(&mut self, ticket: u64) {
        let commit = self.commit_index;
        let State::Leader(leader) = &mut self.state else {
            return self.refuse(ticket, Reason::NotLeader);
        };
        let index = commit.max(leader.first_index);
        leader.reads.push(Read { index, round: leader.round + 1, ticket });
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_heard_quorum() {
            return self.step_down();
        }
        let commit = self.commit_index;
        let State::Leader(leader) = &mut self.state else { return };
        if self.now >= leader.heartbeat_at {
            leader.heartbeat_commits = (commit, leader.heartbeat_commits.0);
            leader.heartbeat_at = self.now + self.setup.timing.heartbeat;
            self.send_heartbeats();
        }
    }

    /// Starts a heartbeat round.
    pub(super) fn send_heartbeats(&mut self) {
        self.with_leader(|replica, leader| {
            leader.round += 1;
            let nodes: Vec<_> = leader.members.keys().cloned().collect();
            for node in nodes {
                replica.send_heartbeat(leader, &node);
            }
        });
    }

    /// Sends new entries to every member whose window has room.
    pub(super) fn replicate(&mut self) {
        self.with_leader(|replica, leader| {
            let nodes: Vec<_> = leader.members.keys().cloned().collect();
            for node in nodes {
                replica.send_entries(leader, &node);
            }
        });
    }

    /// Brings the tracked members in line with the newest membership.
    pub(super) fn update_members(&mut self) {
        let next = self.log.last_index() + 1;
        self.with_leader(|replica, leader| {
            let membership = replica.log.membership();
            leader.members.retain(|node, progress| membership.disk(node) == Some(progress.disk));
            for (node, disk) in membership.members() {
                if *node != replica.setup.id {
                    let fresh = || Progress::new(disk, next);
                    leader.members.entry(node.clone()).or_insert_with(fresh);
                }
            }
        });
    }

    /// Whether a member that was last heard at `heard` was heard within an election
    /// timeout.
    pub(super) fn is_heard(&self, heard: Option<Moment>) -> bool {
        heard.is_some_and(|at| self.now < at + self.setup.timing.election)
    }

    /// Check-quorum: whether a majority of the voters was heard within an election
    /// timeout. Without this check, a leader that can send but receives nothing would
    /// lead forever and commit nothing.
    fn has_heard_quorum(&self) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let election = self.setup.timing.election;
        if self.now < leader.elected_at + election {
            return true;
        }
        let membership = self.log.membership();
        let heard = membership.voters.keys().filter(|node| {
            let progress = leader.members.get(*node);
            **node == self.setup.id || progress.is_some_and(|it| self.is_heard(it.heard))
        });
        heard.count() >= membership.quorum()
    }

    pub(super) fn handle_appended(&mut self, from: &NodeId, disk: u64, round: u64, matched: Index) {
        if matched > self.log.last_index() {
            return;
        }
        self.record_answer(from, disk, round, |progress| {
            progress.match_index = progress.match_index.max(matched);
            progress.is_probing = false;
            progress.window_start = progress.window_start.max(progress.match_index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            if progress
                .transfer
                .as_ref()
                .is_some_and(|it| it.snapshot.index <= progress.match_index)
            {
                progress.transfer = None;
            }
        });
        self.with_leader(|replica, leader| replica.send_entries(leader, from));
    }

    /// Moves the next index back, but never before what the member has acknowledged.
    /// A mismatch at an acknowledged index, or at one not sent again yet, is outdated.
    /// Resending for it would get the same answer again without end, and duplicated
    /// messages would multiply the resends.
    pub(super) fn handle_mismatch(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        (prev_index, hint): (Index, Index),
    ) {
        let mut must_resend = false;
        self.record_answer(from, disk, round, |progress| {
            let next = hint.max(progress.match_index).saturating_add(1);
            let is_current = progress.match_index < prev_index && prev_index < progress.next_index;
            must_resend = is_current && next < progress.next_index;
            if must_resend {
                progress.next_index = next;
                progress.is_probing = true;
                progress.window_start = progress.next_index - 1;
            }
        });
        if must_resend {
            self.with_leader(|replica, leader| replica.send_entries(leader, from));
        }
    }

    pub(super) fn handle_chunked(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        index: Index,
        offset: u64,
    ) {
        let mut has_moved = false;
        self.record_answer(from, disk, round, |progress| {
            let Some(transfer) = &mut progress.transfer else { return };
            if transfer.snapshot.index == index && transfer.offset != offset {
                transfer.offset = offset;
                has_moved = true;
            }
        });
        if has_moved {
            self.with_leader(|replica, leader| replica.send_chunk(leader, from));
        }
    }

    fn record_answer(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        change: impl FnOnce(&mut Progress),
    ) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.members.get_mut(from) else { return };
        if progress.disk != disk {
            return;
        }
        progress.heard = Some(self.now);
        progress.round = progress.round.max(round);
        change(progress);
    }

    fn send_heartbeat(&mut self, leader: &mut Leader, node: &NodeId) {
        let Some(progress) = leader.members.get(node) else { return };
        if !self.is_heard(progress.heard) {
            return self.send_append(leader, node, Vec::new());
        }
        if progress.transfer.is_some() {
            return self.send_chunk(leader, node);
        }
        let sent = leader.members.get(node).map(|it| it.next_index);
        self.send_entries(leader, node);
        if leader.members.get(node).map(|it| it.next_index) == sent {
            self.send_append(leader, node, Vec::new());
        }
    }

    /// Sends entries when none are in flight or when a full message is ready.
    /// Entries that arrive in the meantime share the next message, as they share a
    /// sync; otherwise each proposal would cost one message per member.
    fn send_entries(&mut self, leader: &mut Leader, node: &NodeId) {
        loop {
            let Some(progress) = leader.members.get(node) else { return };
            if progress.transfer.is_some() {
                return;
            }
            if progress.next_index <= self.log.base_index() {
                return self.send_chunk(leader, node);
            }
            let in_flight = (progress.next_index - 1).saturating_sub(progress.window_start);
            let bytes_in_flight = self
                .log
                .bytes_from(progress.window_start + 1)
                .saturating_sub(self.log.bytes_from(progress.next_index));
            let is_batch_full =
                self.log.bytes_from(progress.next_index) > self.setup.limits.batch_bytes;
            let must_wait = in_flight > 0 && (progress.is_probing || !is_batch_full);
            if progress.next_index > self.log.last_index()
                || must_wait
                || in_flight > self.setup.limits.window_entries
                || bytes_in_flight > self.setup.limits.window_bytes
            {
                return;
            }
            let entries = self.log.batch(progress.next_index, self.setup.limits.batch_bytes);
            self.send_append(leader, node, entries);
        }
    }

    fn send_append(&mut self, leader: &mut Leader, node: &NodeId, entries: Vec<Entry>) {
        let Some(progress) = leader.members.get_mut(node) else { return };
        let prev_index = (progress.next_index - 1).max(self.log.base_index());
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        progress.next_index += entries.len() as Index;
        let disk = progress.disk;
        // Followers need not wait for the commits of this replica's own steps.
        let body = Body::Append {
            commit: self.committable_index,
            entries,
            prev_index,
            prev_term,
            round: leader.round,
        };
        self.send_immediately(node, disk, body);
    }

    /// Runs `work` with the leader's state moved out of the replica, so that `work` can
    /// borrow both mutably.
    pub(super) fn with_leader(&mut self, work: impl FnOnce(&mut Self, &mut Leader)) {
        let state = std::mem::replace(&mut self.state, State::Follower);
        let State::Leader(mut leader) = state else {
            self.state = state;
            return;
        };
        work(self, &mut leader);
        self.state = State::Leader(leader);
    }
}
