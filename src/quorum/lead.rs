//! A leader replicates.

use std::collections::BTreeMap;

use super::entry::Entry;
use super::entry::Payload;
use super::message::Body;
use super::output::Output;
use super::output::Reason;
use super::progress::Lead;
use super::progress::Progress;
use super::progress::Read;
use super::record::Record;
use super::replica::Replica;
use super::replica::Stance;
use crate::clock::Moment;
use crate::id::Index;
use crate::id::NodeId;

impl Replica {
    pub(super) fn lead(&mut self) {
        let next = self.trail.last() + 1;
        let members = BTreeMap::new();
        self.leader = Some(self.setup.me.clone());
        self.met_leader = true;
        self.stance = Stance::Leader(Box::new(Lead {
            first: next,
            heartbeat_at: self.now + self.setup.timing.heartbeat,
            marks: (0, 0),
            members,
            pending: 0,
            reads: Vec::new(),
            round: 0,
            since: self.now,
            tickets: BTreeMap::new(),
        }));
        self.outputs.push(Output::BecameLeader { term: self.term });
        self.follow_membership();
        self.append(Payload::Blank);
        self.beat();
    }

    /// Appends an entry of the own term, and gives its position.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.trail.last() + 1;
        let entry = Entry { index, term: self.term, payload };
        if let Stance::Leader(lead) = &mut self.stance {
            lead.pending += entry.size();
        }
        self.record(Record::Entry(entry.clone()));
        self.trail.push(entry);
        index
    }

    pub(super) fn propose(&mut self, ticket: u64, command: Vec<u8>) {
        let Stance::Leader(lead) = &self.stance else {
            return self.refuse(ticket, Reason::NotLeader);
        };
        if lead.pending > self.setup.limits.pending {
            return self.refuse(ticket, Reason::Full);
        }
        let index = self.append(Payload::Command(command));
        self.await_commit(ticket, index);
    }

    pub(super) fn await_commit(&mut self, ticket: u64, index: Index) {
        if let Stance::Leader(lead) = &mut self.stance {
            lead.tickets.insert(index, ticket);
        }
        self.replicate();
    }

    /// A read waits for a heartbeat round that starts after it: a leader that
    /// was deposed without knowing would answer from an old state.
    pub(super) fn read(&mut self, ticket: u64) {
        let commit = self.commit;
        let Stance::Leader(lead) = &mut self.stance else {
            return self.refuse(ticket, Reason::NotLeader);
        };
        let index = commit.max(lead.first);
        lead.reads.push(Read { index, round: lead.round + 1, ticket });
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.hears_majority() {
            return self.step_down();
        }
        let commit = self.commit;
        let Stance::Leader(lead) = &mut self.stance else { return };
        if self.now >= lead.heartbeat_at {
            lead.marks = (commit, lead.marks.0);
            lead.heartbeat_at = self.now + self.setup.timing.heartbeat;
            self.beat();
        }
    }

    /// Starts a heartbeat round.
    pub(super) fn beat(&mut self) {
        self.with_lead(|replica, lead| {
            lead.round += 1;
            let nodes: Vec<_> = lead.members.keys().cloned().collect();
            for node in nodes {
                replica.beat_one(lead, &node);
            }
        });
    }

    /// Sends new entries to every member that can take some.
    pub(super) fn replicate(&mut self) {
        self.with_lead(|replica, lead| {
            let nodes: Vec<_> = lead.members.keys().cloned().collect();
            for node in nodes {
                replica.send_entries(lead, &node);
            }
        });
    }

    /// Members of the newest membership, with a place for each.
    pub(super) fn follow_membership(&mut self) {
        let next = self.trail.last() + 1;
        self.with_lead(|replica, lead| {
            let membership = replica.trail.membership();
            lead.members.retain(|node, progress| membership.disk(node) == Some(progress.disk));
            for (node, disk) in membership.members() {
                if *node != replica.setup.me {
                    let fresh = || Progress::new(disk, next);
                    lead.members.entry(node.clone()).or_insert_with(fresh);
                }
            }
        });
    }

    pub(super) fn is_heard(&self, heard: Option<Moment>) -> bool {
        heard.is_some_and(|at| self.now < at + self.setup.timing.election)
    }

    /// Whether a majority of the voters was heard within an election timeout. A
    /// leader that is heard but hears nobody would otherwise lead for ever, and
    /// commit nothing.
    fn hears_majority(&self) -> bool {
        let Stance::Leader(lead) = &self.stance else { return false };
        let election = self.setup.timing.election;
        if self.now < lead.since + election {
            return true;
        }
        let membership = self.trail.membership();
        let heard = membership.voters.keys().filter(|node| {
            let progress = lead.members.get(*node);
            **node == self.setup.me || progress.is_some_and(|it| self.is_heard(it.heard))
        });
        heard.count() >= membership.quorum()
    }

    pub(super) fn note_appended(&mut self, from: &NodeId, disk: u64, round: u64, matched: Index) {
        if matched > self.trail.last() {
            return;
        }
        self.note_answer(from, disk, round, |progress| {
            progress.matched = progress.matched.max(matched);
            progress.probing = false;
            progress.window_start = progress.window_start.max(progress.matched);
            progress.next = progress.next.max(progress.matched + 1);
            if progress.transfer.as_ref().is_some_and(|it| it.snapshot.index <= progress.matched) {
                progress.transfer = None;
            }
        });
        self.with_lead(|replica, lead| replica.send_entries(lead, from));
    }

    /// Goes back, but never behind what the member has acknowledged. An answer
    /// about a position that it has acknowledged, or that is not sent yet again,
    /// is an old one: sending for it would be answered alike, without end, and
    /// doubled messages would double that.
    pub(super) fn note_mismatch(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        (prev_index, hint): (Index, Index),
    ) {
        let mut wanted = false;
        self.note_answer(from, disk, round, |progress| {
            let next = hint.max(progress.matched).saturating_add(1);
            let current = progress.matched < prev_index && prev_index < progress.next;
            wanted = current && next < progress.next;
            if wanted {
                progress.next = next;
                progress.probing = true;
                progress.window_start = progress.next - 1;
            }
        });
        if wanted {
            self.with_lead(|replica, lead| replica.send_entries(lead, from));
        }
    }

    pub(super) fn note_chunked(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        index: Index,
        offset: u64,
    ) {
        let mut moved = false;
        self.note_answer(from, disk, round, |progress| {
            let Some(transfer) = &mut progress.transfer else { return };
            if transfer.snapshot.index == index && transfer.offset != offset {
                transfer.offset = offset;
                moved = true;
            }
        });
        if moved {
            self.with_lead(|replica, lead| replica.send_chunk(lead, from));
        }
    }

    fn note_answer(
        &mut self,
        from: &NodeId,
        disk: u64,
        round: u64,
        change: impl FnOnce(&mut Progress),
    ) {
        let Stance::Leader(lead) = &mut self.stance else { return };
        let Some(progress) = lead.members.get_mut(from) else { return };
        if progress.disk != disk {
            return;
        }
        progress.heard = Some(self.now);
        progress.round = progress.round.max(round);
        change(progress);
    }

    fn beat_one(&mut self, lead: &mut Lead, node: &NodeId) {
        let Some(progress) = lead.members.get(node) else { return };
        if !self.is_heard(progress.heard) {
            return self.send_append(lead, node, Vec::new());
        }
        if progress.transfer.is_some() {
            return self.send_chunk(lead, node);
        }
        let sent = lead.members.get(node).map(|it| it.next);
        self.send_entries(lead, node);
        if lead.members.get(node).map(|it| it.next) == sent {
            self.send_append(lead, node, Vec::new());
        }
    }

    /// Sends entries when none are under way, or when a full message is ready.
    /// Entries that come in the meantime share the next message, as they share a
    /// sync; without it each proposal costs a message a member.
    fn send_entries(&mut self, lead: &mut Lead, node: &NodeId) {
        loop {
            let Some(progress) = lead.members.get(node) else { return };
            if progress.transfer.is_some() {
                return;
            }
            if progress.next <= self.trail.base() {
                return self.send_chunk(lead, node);
            }
            let under_way = (progress.next - 1).saturating_sub(progress.window_start);
            let full = self.trail.bytes_from(progress.next) > self.setup.limits.batch;
            let waits = under_way > 0 && (progress.probing || !full);
            if progress.next > self.trail.last() || waits || under_way > self.setup.limits.window {
                return;
            }
            let entries = self.trail.batch(progress.next, self.setup.limits.batch);
            self.send_append(lead, node, entries);
        }
    }

    fn send_append(&mut self, lead: &mut Lead, node: &NodeId, entries: Vec<Entry>) {
        let Some(progress) = lead.members.get_mut(node) else { return };
        let prev_index = (progress.next - 1).max(self.trail.base());
        let prev_term = self.trail.term(prev_index).unwrap_or(0);
        progress.next += entries.len() as Index;
        let disk = progress.disk;
        let body =
            Body::Append { commit: self.commit, entries, prev_index, prev_term, round: lead.round };
        self.send_early(node, disk, body);
    }

    /// Lends the leader's state, so that sending can use the rest of the replica.
    pub(super) fn with_lead(&mut self, work: impl FnOnce(&mut Self, &mut Lead)) {
        let stance = std::mem::replace(&mut self.stance, Stance::Follower);
        let Stance::Leader(mut lead) = stance else {
            self.stance = stance;
            return;
        };
        work(self, &mut lead);
        self.stance = Stance::Leader(lead);
    }
}
