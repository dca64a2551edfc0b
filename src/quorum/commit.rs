//! What is committed, and what that lets happen.

use super::entry::Payload;
use super::output::Output;
use super::progress::Lead;
use super::progress::Progress;
use super::progress::Read;
use super::replica::Replica;
use super::replica::Stance;
use super::setup::Fault;
use crate::id::Index;
use crate::id::NodeId;

impl Replica {
    /// Does what the last input made possible.
    pub(super) fn advance(&mut self) {
        self.advance_election();
        self.advance_commit();
        self.advance_reads();
    }

    /// Commits and hands out everything up to `index`.
    pub(super) fn commit_to(&mut self, index: Index) {
        while self.commit < index {
            let Some(entry) = self.trail.get(self.commit + 1).cloned() else { return };
            self.commit = entry.index;
            let size = entry.size();
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
            self.accept(index, size);
        }
    }

    fn accept(&mut self, index: Index, size: usize) {
        let Stance::Leader(lead) = &mut self.stance else { return };
        lead.pending = lead.pending.saturating_sub(size);
        if let Some(ticket) = lead.tickets.remove(&index) {
            self.outputs.push(Output::Accepted { ticket, index });
        }
    }

    /// Commits what a majority has synced. Only an entry of the leader's own
    /// term is counted; older ones follow it. An older entry on a majority can
    /// still be overwritten by a leader that was elected without it.
    fn advance_commit(&mut self) {
        let Stance::Leader(lead) = &self.stance else { return };
        let majority = self.majority(lead, self.durable, |progress| progress.matched);
        let own_term = self.trail.term(majority) == Some(self.term);
        let counts = own_term || self.setup.fault == Some(Fault::OldTermCommit);
        if majority <= self.commit || !counts {
            return;
        }
        self.commit_to(majority);
        self.leave_if_removed();
    }

    /// A leader whose own removal is committed tells the others, and stops.
    fn leave_if_removed(&mut self) {
        if self.is_voter() || self.trail.changed_at() > self.commit {
            return;
        }
        self.beat();
        self.step_down();
    }

    fn advance_reads(&mut self) {
        let Stance::Leader(lead) = &mut self.stance else { return };
        if lead.reads.is_empty() {
            return;
        }
        let waits = lead.reads.iter().any(|read| read.round <= lead.round);
        if !waits {
            self.beat();
        }
        let Stance::Leader(lead) = &self.stance else { return };
        let mut confirmed = self.majority(lead, u64::MAX, |progress| progress.round);
        if self.setup.fault == Some(Fault::UncheckedRead) {
            confirmed = u64::MAX;
        }
        let commit = self.commit;
        let Stance::Leader(lead) = &mut self.stance else { return };
        let ready = |read: &Read| read.round <= confirmed && read.index <= commit;
        let reads = std::mem::take(&mut lead.reads);
        let (done, waiting): (Vec<_>, Vec<_>) = reads.into_iter().partition(ready);
        lead.reads = waiting;
        for read in done {
            self.outputs.push(Output::Readable { ticket: read.ticket });
        }
    }

    /// Highest value that a majority of the voters has reached.
    fn majority(&self, lead: &Lead, own: u64, value: impl Fn(&Progress) -> u64) -> u64 {
        let membership = self.trail.membership();
        let of = |node: &NodeId| {
            if *node == self.setup.me {
                return own;
            }
            lead.members.get(node).map_or(0, &value)
        };
        let mut values: Vec<_> = membership.voters.keys().map(of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(membership.quorum() - 1).copied().unwrap_or(0)
    }
}
