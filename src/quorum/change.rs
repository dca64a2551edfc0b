//! Membership changes, one member at a time, and the verdict on them.

use super::entry::Payload;
use super::input::Change;
use super::membership::DiskId;
use super::membership::Membership;
use super::output::Reason;
use super::progress::Lead;
use super::replica::Replica;
use super::replica::Stance;
use super::status::Member;
use super::status::Role;
use super::status::Status;
use crate::clock::Moment;
use crate::id::NodeId;

impl Replica {
    pub(super) fn change(&mut self, ticket: u64, change: &Change) {
        match self.changed(change) {
            Ok(membership) => {
                let index = self.append(Payload::Change(membership));
                self.follow_membership();
                self.await_commit(ticket, index);
            }
            Err(reason) => self.refuse(ticket, reason),
        }
    }

    /// One change at a time, and only after an entry of the own term is
    /// committed: two leaders could otherwise each count a majority of a
    /// membership that the other doesn't know, and the majorities not meet.
    fn changed(&self, change: &Change) -> Result<Membership, Reason> {
        let Stance::Leader(lead) = &self.stance else { return Err(Reason::NotLeader) };
        if self.commit < lead.first || self.trail.changed_at() > self.commit {
            return Err(Reason::Busy);
        }
        let mut membership = self.trail.membership().clone();
        match change {
            Change::AddLearner { disk, node } => add(&mut membership, node, *disk)?,
            Change::Promote { node } => self.promote(lead, &mut membership, node)?,
            Change::Remove { node } => self.remove(lead, &mut membership, node)?,
        }
        Ok(membership)
    }

    /// A learner that is behind would count towards the majority's size before
    /// it can be part of one: a second loss would then stop the group.
    fn promote(
        &self,
        lead: &Lead,
        membership: &mut Membership,
        node: &NodeId,
    ) -> Result<(), Reason> {
        if membership.voters.contains_key(node) {
            return Err(Reason::Unchanged);
        }
        let disk = membership.learners.remove(node).ok_or(Reason::Unknown)?;
        if !self.is_up_to_date(lead, node) {
            return Err(Reason::Behind);
        }
        membership.voters.insert(node.clone(), disk);
        Ok(())
    }

    /// Removing one of the last up-to-date voters would leave a group that can
    /// never commit again, nor change its members back.
    fn remove(
        &self,
        lead: &Lead,
        membership: &mut Membership,
        node: &NodeId,
    ) -> Result<(), Reason> {
        if membership.learners.remove(node).is_some() {
            return Ok(());
        }
        membership.voters.remove(node).ok_or(Reason::Unchanged)?;
        let good = membership.voters.keys().filter(|voter| self.is_up_to_date(lead, voter));
        if good.count() < membership.quorum() {
            return Err(Reason::WouldStall);
        }
        Ok(())
    }

    /// Whether a member is heard and has synced all that was committed a
    /// heartbeat ago. Not all that is committed now: under load the slowest of
    /// three is always a message behind, and loses nothing by it, since an entry
    /// that it lacks is on every other majority.
    fn is_up_to_date(&self, lead: &Lead, node: &NodeId) -> bool {
        let wanted = lead.marks.1.max(self.trail.changed_at().min(self.commit));
        if lead.marks.1 < lead.first {
            return false;
        }
        if *node == self.setup.me {
            return self.durable >= wanted;
        }
        let progress = lead.members.get(node);
        progress.is_some_and(|it| it.matched >= wanted && self.is_heard(it.heard))
    }

    /// The verdict "repaired": after the loss of any one more VM and its disk, a
    /// majority is left that holds all that was committed. A learner doesn't
    /// count, whatever it holds, for it can't take part in an election.
    pub fn repaired(&self) -> bool {
        let Stance::Leader(lead) = &self.stance else { return false };
        if self.trail.changed_at() > self.commit {
            return false;
        }
        let membership = self.trail.membership();
        let good = membership.voters.keys().filter(|node| self.is_up_to_date(lead, node));
        good.count() > membership.quorum()
    }

    /// What operators see, as of `now`.
    pub fn status(&self, now: Moment) -> Status {
        let members = self.trail.membership().members();
        Status {
            commit: self.commit,
            disk: self.named.then_some(self.disk),
            entries: self.trail.bytes_from(0),
            last: self.trail.last(),
            leader: self.leader.clone(),
            members: members.map(|(node, disk)| self.member(now, node, disk)).collect(),
            role: self.role(),
            snapshot: self.trail.snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            term: self.term,
            tolerates_one_more_loss: self.repaired(),
        }
    }

    fn member(&self, now: Moment, node: &NodeId, disk: DiskId) -> Member {
        let me = *node == self.setup.me && disk == self.disk;
        let lead = if let Stance::Leader(lead) = &self.stance { Some(lead) } else { None };
        let progress = lead.and_then(|lead| lead.members.get(node));
        let heard = progress.and_then(|it| it.heard).map(|at| now.saturating_sub(at));
        let heard = if me { Some(Moment::ZERO) } else { heard };
        let matched = if me { self.durable } else { progress.map_or(0, |it| it.matched) };
        Member {
            disk,
            heard,
            lag: self.trail.last().saturating_sub(matched),
            matched,
            node: node.clone(),
            silent: heard.is_none_or(|heard| heard >= self.setup.timing.election),
            up_to_date: lead.is_some_and(|lead| self.is_up_to_date(lead, node)),
            voter: self.trail.membership().votes(node, disk),
        }
    }

    fn role(&self) -> Role {
        match &self.stance {
            Stance::Leader(_) => Role::Leader,
            Stance::Candidate { .. } | Stance::PreCandidate { .. } => Role::Candidate,
            Stance::Follower if self.is_voter() => Role::Follower,
            Stance::Follower => {
                let disk = self.trail.membership().disk(&self.setup.me);
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
