//! Elections: pre-vote, vote, and protection of a leader that is still reachable.
//!
//! A replica that receives nothing from the leader, but can send, would raise the
//! term repeatedly and depose a leader that serves all others. A pre-vote asks first
//! without raising the term, and every replica that still hears a leader refuses it.

use std::collections::BTreeSet;

use super::membership::FOUNDER_DISK;
use super::message::Body;
use super::message::Message;
use super::output::Output;
use super::output::Reason;
use super::replica::Replica;
use super::replica::State;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            return self.tick_leader();
        }
        if self.deadline.is_some_and(|deadline| self.now < deadline) {
            return;
        }
        self.reset_deadline();
        self.leader = None;
        if self.is_voter() {
            self.start_pre_vote();
        }
    }

    /// Whether this replica leads or has heard a leader within the shortest election
    /// timeout. A leader that hears no majority steps down by itself.
    pub(super) fn has_leader(&self) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return true;
        }
        let election = self.setup.timing.election;
        self.leader.is_some() && self.leader_heard_at.is_some_and(|at| self.now < at + election)
    }

    /// Adopts a newer term as a follower that knows no leader yet.
    pub(super) fn adopt_term(&mut self, term: Term) {
        self.step_down();
        self.term = term;
        self.vote = None;
        self.incoming = None;
        self.record_ballot();
    }

    /// Becomes a follower. The next leader may still commit the uncommitted
    /// proposals, so their outcome is reported as uncertain.
    pub(super) fn step_down(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Follower);
        self.leader = None;
        self.leader_heard_at = None;
        let State::Leader(leader) = state else { return };
        self.reset_deadline();
        self.outputs.push(Output::SteppedDown { term: self.term });
        for ticket in leader.tickets.into_values() {
            self.outputs.push(Output::Uncertain { ticket });
        }
        for read in leader.reads {
            self.refuse(read.ticket, Reason::NotLeader);
        }
    }

    fn start_pre_vote(&mut self) {
        let granted = BTreeSet::from([self.setup.id.clone()]);
        self.state = State::PreCandidate { granted };
        let body =
            Body::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        for (node, disk) in self.other_voters() {
            let mut message = self.message(disk, body.clone());
            message.term = message.term.saturating_add(1);
            self.queue_message(&node, message);
        }
    }

    fn start_election(&mut self) {
        self.term = self.term.saturating_add(1);
        self.vote = Some(self.setup.id.clone());
        self.incoming = None;
        self.record_ballot();
        self.state =
            State::Candidate { granted: BTreeSet::new(), vote_persist: self.next_persist() };
        self.reset_deadline();
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for (node, disk) in self.other_voters() {
            self.send(&node, disk, Body::Vote { last_index, last_term });
        }
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        from: &NodeId,
        message: &Message,
        last: (Term, Index),
    ) {
        let newer = message.term > self.term;
        let granted = newer && !self.has_leader() && self.is_candidate_up_to_date(last);
        let mut answer = self.message(message.disk, Body::PreVoted { granted });
        if granted {
            answer.term = message.term;
        }
        self.queue_message(from, answer);
    }

    pub(super) fn answer_vote(&mut self, from: &NodeId, disk: u64, last: (Term, Index)) {
        let is_vote_free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let follows = matches!(self.state, State::Follower | State::PreCandidate { .. });
        let granted =
            is_vote_free && follows && self.leader.is_none() && self.is_candidate_up_to_date(last);
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.state = State::Follower;
            self.record_ballot();
            self.reset_deadline();
        }
        self.send(from, disk, Body::Voted { granted });
    }

    pub(super) fn count_pre_vote(&mut self, from: &NodeId, message: &Message) {
        if message.term != self.term.saturating_add(1) {
            return;
        }
        let is_voter = self.log.membership().is_voter(from, message.disk);
        if let State::PreCandidate { granted } = &mut self.state
            && is_voter
        {
            granted.insert(from.clone());
        }
    }

    pub(super) fn count_vote(&mut self, from: &NodeId, disk: u64) {
        let is_voter = self.log.membership().is_voter(from, disk);
        if let State::Candidate { granted, .. } = &mut self.state
            && is_voter
        {
            granted.insert(from.clone());
        }
    }

    /// Starts the election or becomes leader once a majority has granted its votes.
    /// The replica's own vote, like all others, counts only when it is synced.
    pub(super) fn advance_election(&mut self) {
        let quorum = self.log.membership().quorum();
        match &mut self.state {
            State::PreCandidate { granted } if granted.len() >= quorum => self.start_election(),
            State::Candidate { granted, vote_persist } => {
                if *vote_persist <= self.synced_persist {
                    granted.insert(self.setup.id.clone());
                }
                if granted.len() >= quorum {
                    self.become_leader();
                }
            }
            _ => {}
        }
    }

    fn is_candidate_up_to_date(&self, last: (Term, Index)) -> bool {
        last >= (self.log.last_term(), self.log.last_index()) && !self.may_have_forgotten(last)
    }

    /// Whether this replica may have lost its disk since it was founded. An empty log under a founder's
    /// identity is either as old as the group or was written anew by settings of the first start; others
    /// can't tell, and what it acknowledged before may be missing in the candidate's log too. A leader
    /// sends it all that is committed, and it votes again.
    fn may_have_forgotten(&self, last: (Term, Index)) -> bool {
        self.disk == FOUNDER_DISK && self.log.last_index() == 0 && last.1 > 0
    }

    fn other_voters(&self) -> Vec<(NodeId, u64)> {
        let voters = &self.log.membership().voters;
        let others = voters.iter().filter(|(node, _)| **node != self.setup.id);
        others.map(|(node, disk)| (node.clone(), *disk)).collect()
    }
}
