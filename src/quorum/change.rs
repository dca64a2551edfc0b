//! Membership changes, one member at a time, and the status that operators see.

use super::entry::Payload;
use super::input::Change;
use super::membership::DiskId;
use super::membership::Membership;
use super::output::Reason;
use super::progress::Leader;
use super::replica::Replica;
use super::replica::State;
use super::status::Member;
use super::status::Role;
use super::status::Status;
use crate::clock::Moment;
use crate::id::NodeId;

impl Replica {
    pub(super) fn change(&mut self, ticket: u64, change: &Change) {
        match self.changed_membership(change) {
            Ok(membership) => {
                let index = self.append(Payload::Change(membership));
                self.update_members();
                self.await_commit(ticket, index);
            }
            Err(reason) => self.refuse(ticket, reason),
        }
    }

    /// Returns the membership after `change`. Only one change may be uncommitted,
    /// and only after an entry of this leader's term is committed. Otherwise two
    /// leaders could each count a majority of a membership that the other doesn't
    /// know, and the two majorities might not overlap.
    fn changed_membership(&self, change: &Change) -> Result<Membership, Reason> {
        let State::Leader(leader) = &self.state else { return Err(Reason::NotLeader) };
        if self.commit_index < leader.first_index || self.log.membership_index() > self.commit_index
        {
            return Err(Reason::Busy);
        }
        let mut membership = self.log.membership().clone();
        match change {
            Change::AddLearner { disk, node } => add(&mut membership, node, *disk)?,
            Change::Promote { node } => self.promote(leader, &mut membership, node)?,
            Change::Remove { node } => self.remove(leader, &mut membership, node)?,
        }
        Ok(membership)
    }

    /// Refuses a learner that is behind: as a voter it would raise the size of the
    /// majority before it can be part of one, and one more loss would then stop the
    /// group.
    fn promote(
        &self,
        leader: &Leader,
        membership: &mut Membership,
        node: &NodeId,
    ) -> Result<(), Reason> {
        if membership.voters.contains_key(node) {
            return Err(Reason::Unchanged);
        }
        let disk = membership.learners.remove(node).ok_or(Reason::Unknown)?;
        if !self.is_up_to_date(leader, node) {
            return Err(Reason::Behind);
        }
        membership.voters.insert(node.clone(), disk);
        Ok(())
    }

    /// Refuses to remove one of the last up-to-date voters: the group could never
    /// commit again, not even a change that restores the membership.
    fn remove(
        &self,
        leader: &Leader,
        membership: &mut Membership,
        node: &NodeId,
    ) -> Result<(), Reason> {
        if membership.learners.remove(node).is_some() {
            return Ok(());
        }
        membership.voters.remove(node).ok_or(Reason::Unchanged)?;
        let up_to_date = membership.voters.keys().filter(|voter| self.is_up_to_date(leader, voter));
        if up_to_date.count() < membership.quorum() {
            return Err(Reason::WouldStall);
        }
        Ok(())
    }

    /// Whether a member answers and has synced everything that was committed one
    /// heartbeat ago. The current commit index would be too strict: under load the
    /// slowest of three members is always one message behind. That loses nothing,
    /// since a majority of the others holds the entries that it lacks.
    fn is_up_to_date(&self, leader: &Leader, node: &NodeId) -> bool {
        let required =
            leader.heartbeat_commits.1.max(self.log.membership_index().min(self.commit_index));
        if leader.heartbeat_commits.1 < leader.first_index {
            return false;
        }
        if *node == self.setup.id {
            return self.synced_index >= required;
        }
        let progress = leader.members.get(node);
        progress.is_some_and(|it| it.match_index >= required && self.is_heard(it.heard))
    }

    /// Whether, after the loss of any one more VM and its disk, a majority remains
    /// that holds everything committed. Learners don't count, whatever they hold,
    /// since they can't take part in an election.
    pub fn tolerates_one_more_loss(&self) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        if self.log.membership_index() > self.commit_index {
            return false;
        }
        let membership = self.log.membership();
        let up_to_date = membership.voters.keys().filter(|node| self.is_up_to_date(leader, node));
        up_to_date.count() > membership.quorum()
    }

    /// Status for operators as of `now`.
    pub fn status(&self, now: Moment) -> Status {
        let members = self.log.membership().members();
        Status {
            commit: self.commit_index,
            disk: self.is_identity_synced.then_some(self.disk),
            entries: self.log.bytes_from(0),
            last: self.log.last_index(),
            leader: self.leader.clone(),
            members: members.map(|(node, disk)| self.member(now, node, disk)).collect(),
            role: self.role(),
            snapshot: self.log.snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            term: self.term,
            tolerates_one_more_loss: self.tolerates_one_more_loss(),
        }
    }

    fn member(&self, now: Moment, node: &NodeId, disk: DiskId) -> Member {
        let is_self = *node == self.setup.id && disk == self.disk;
        let leader = if let State::Leader(leader) = &self.state { Some(leader) } else { None };
        let progress = leader.and_then(|leader| leader.members.get(node));
        let heard = progress.and_then(|it| it.heard).map(|at| now.saturating_sub(at));
        let heard = if is_self { Some(Moment::ZERO) } else { heard };
        let matched =
            if is_self { self.synced_index } else { progress.map_or(0, |it| it.match_index) };
        Member {
            disk,
            heard,
            lag: self.log.last_index().saturating_sub(matched),
            matched,
            node: node.clone(),
            silent: heard.is_none_or(|heard| heard >= self.setup.timing.election),
            up_to_date: leader.is_some_and(|leader| self.is_up_to_date(leader, node)),
            voter: self.log.membership().is_voter(node, disk),
        }
    }

    fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate { .. } | State::PreCandidate { .. } => Role::Candidate,
            State::Follower if self.is_voter() => Role::Follower,
            State::Follower => {
                let disk = self.log.membership().disk(&self.setup.id);
                if disk == Some(self.disk) { Role::Learner } else { Role::Blank }
            }
        }
    }
}

fn add(membership: &mut Membership, node: &NodeId, disk: DiskId) -> Result<(), Reason> {
    match membership.disk(node) {
        Some(present) if present == disk => Err(Reason::Unchanged),
        Some(_) => Err(Reason::Occupied),
        None => {
            membership.learners.insert(node.clone(), disk);
            Ok(())
        }
    }
}
