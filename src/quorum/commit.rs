//! Advances the commit index and completes the proposals and reads that wait for it.

use super::entry::Payload;
use super::output::Output;
use super::progress::Leader;
use super::progress::Progress;
use super::progress::Read;
use super::replica::Replica;
use super::replica::State;
use super::setup::Fault;
use crate::id::Index;
use crate::id::NodeId;

impl Replica {
    /// Advances the election, the commit index and the reads after an input.
    pub(super) fn advance(&mut self) {
        self.advance_election();
        self.advance_commit();
        self.commit_next();
        self.leave_if_removed();
        self.advance_reads();
    }

    /// Records that all entries up to `index` can be committed.
    pub(super) fn commit_to(&mut self, index: Index) {
        self.committable_index = self.committable_index.max(index);
    }

    /// Whether entries are left that [`Self::commit_next`] will commit.
    pub fn has_uncommitted(&self) -> bool {
        self.commit_index < self.committable_index.min(self.log.last_index())
    }

    /// Commits the next entries and emits an output for each, up to the bytes of one step: a log that
    /// is replayed at once would be in memory twice.
    fn commit_next(&mut self) {
        let mut bytes = 0;
        while self.commit_index < self.committable_index && bytes < self.setup.limits.commit_bytes {
            let Some(entry) = self.log.get(self.commit_index + 1).cloned() else { return };
            self.commit_index = entry.index;
            let size = entry.size();
            bytes += size;
            let (index, term) = (entry.index, entry.term);
            match entry.payload {
                Payload::Blank => {}
                Payload::Change(membership) => {
                    self.outputs.push(Output::Changed { index, membership });
                }
                Payload::Command(command) => {
                    self.outputs.push(Output::Commit { index, term, command });
                }
            }
            self.complete_ticket(index, size);
        }
    }

    fn complete_ticket(&mut self, index: Index, size: usize) {
        let State::Leader(leader) = &mut self.state else { return };
        leader.pending_bytes = leader.pending_bytes.saturating_sub(size);
        if let Some(ticket) = leader.tickets.remove(&index) {
            self.outputs.push(Output::Accepted { ticket, index });
        }
    }

    /// Commits the entries that a majority has synced. Copies are counted only for
    /// entries of the leader's own term; older entries commit along with them. An
    /// older entry on a majority can still be overwritten by a leader that was
    /// elected without it.
    fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let majority = self.majority(leader, self.synced_index, |progress| progress.match_index);
        let own_term = self.log.term(majority) == Some(self.term);
        let can_commit = own_term || self.setup.fault == Some(Fault::OldTermCommit);
        if majority <= self.commit_index || !can_commit {
            return;
        }
        self.commit_to(majority);
    }

    /// Steps down once this leader's own removal is committed, after a last heartbeat
    /// that tells the others the commit index.
    fn leave_if_removed(&mut self) {
        let is_leader = matches!(self.state, State::Leader(_));
        if !is_leader || self.is_voter() || self.log.membership_index() > self.commit_index {
            return;
        }
        self.send_heartbeats();
        self.step_down();
    }

    fn advance_reads(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        if leader.reads.is_empty() {
            return;
        }
        let is_round_started = leader.reads.iter().any(|read| read.round <= leader.round);
        if !is_round_started {
            self.send_heartbeats();
        }
        let State::Leader(leader) = &self.state else { return };
        let mut confirmed = self.majority(leader, u64::MAX, |progress| progress.round);
        if self.setup.fault == Some(Fault::UncheckedRead) {
            confirmed = u64::MAX;
        }
        let commit = self.commit_index;
        let State::Leader(leader) = &mut self.state else { return };
        let ready = |read: &Read| read.round <= confirmed && read.index <= commit;
        let reads = std::mem::take(&mut leader.reads);
        let (done, waiting): (Vec<_>, Vec<_>) = reads.into_iter().partition(ready);
        leader.reads = waiting;
        for read in done {
            self.outputs.push(Output::Readable { ticket: read.ticket });
        }
    }

    /// Highest value that a majority of the voters has reached; `own` is this
    /// replica's.
    fn majority(&self, leader: &Leader, own: u64, value: impl Fn(&Progress) -> u64) -> u64 {
        let membership = self.log.membership();
        let value_of = |node: &NodeId| {
            if *node == self.setup.id {
                return own;
            }
            leader.members.get(node).map_or(0, &value)
        };
        let mut values: Vec<_> = membership.voters.keys().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(membership.quorum() - 1).copied().unwrap_or(0)
    }
}
