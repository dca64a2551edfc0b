//! Elections: pre-vote, vote, and the refusal to depose a leader that is heard.
//!
//! A replica that can't hear the leader, but is heard, would raise the term again
//! and again and depose a leader that serves everyone else. The pre-vote asks
//! first, without a new term, and whoever still hears a leader says no.

use std::collections::BTreeSet;

use super::message::Body;
use super::message::Message;
use super::output::Output;
use super::output::Reason;
use super::replica::Replica;
use super::replica::Stance;
use crate::id::Index;
use crate::id::NodeId;
use crate::id::Term;

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.stance, Stance::Leader(_)) {
            return self.tick_leader();
        }
        if self.deadline.is_some_and(|deadline| self.now < deadline) {
            return;
        }
        self.reset_deadline();
        self.leader = None;
        if self.is_voter() {
            self.ask_pre_votes();
        }
    }

    /// Whether a leader was heard within the shortest election timeout, or this
    /// replica leads; a leader that hears no majority steps down by itself.
    pub(super) fn has_leader(&self) -> bool {
        if matches!(self.stance, Stance::Leader(_)) {
            return true;
        }
        let election = self.setup.timing.election;
        self.leader.is_some() && self.heard_leader.is_some_and(|at| self.now < at + election)
    }

    /// Takes over a newer term, as a follower of nobody yet.
    pub(super) fn adopt(&mut self, term: Term) {
        self.step_down();
        self.term = term;
        self.vote = None;
        self.incoming = None;
        self.record_ballot();
    }

    /// Stops leading or standing. What was proposed and not committed may yet
    /// be committed by the next leader, so the answer is neither yes nor no.
    pub(super) fn step_down(&mut self) {
        let stance = std::mem::replace(&mut self.stance, Stance::Follower);
        self.leader = None;
        self.heard_leader = None;
        let Stance::Leader(lead) = stance else { return };
        self.reset_deadline();
        self.outputs.push(Output::SteppedDown { term: self.term });
        for ticket in lead.tickets.into_values() {
            self.outputs.push(Output::Uncertain { ticket });
        }
        for read in lead.reads {
            self.refuse(read.ticket, Reason::NotLeader);
        }
    }

    fn ask_pre_votes(&mut self) {
        let granted = BTreeSet::from([self.setup.me.clone()]);
        self.stance = Stance::PreCandidate { granted };
        let body =
            Body::PreVote { last_index: self.trail.last(), last_term: self.trail.last_term() };
        for (node, disk) in self.other_voters() {
            let mut message = self.message(disk, body.clone());
            message.term = message.term.saturating_add(1);
            self.push_message(&node, message);
        }
    }

    fn ask_votes(&mut self) {
        self.term = self.term.saturating_add(1);
        self.vote = Some(self.setup.me.clone());
        self.incoming = None;
        self.record_ballot();
        self.stance = Stance::Candidate { granted: BTreeSet::new(), own: self.next_persist() };
        self.reset_deadline();
        let last_index = self.trail.last();
        let last_term = self.trail.last_term();
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
        let granted = newer && !self.has_leader() && self.is_behind_or_equal(last);
        let mut answer = self.message(message.disk, Body::PreVoted { granted });
        if granted {
            answer.term = message.term;
        }
        self.push_message(from, answer);
    }

    pub(super) fn answer_vote(&mut self, from: &NodeId, disk: u64, last: (Term, Index)) {
        let free = self.vote.as_ref().is_none_or(|vote| vote == from);
        let follows = matches!(self.stance, Stance::Follower | Stance::PreCandidate { .. });
        let granted = free && follows && self.leader.is_none() && self.is_behind_or_equal(last);
        if granted && self.vote.is_none() {
            self.vote = Some(from.clone());
            self.stance = Stance::Follower;
            self.record_ballot();
            self.reset_deadline();
        }
        self.send(from, disk, Body::Voted { granted });
    }

    pub(super) fn count_pre_vote(&mut self, from: &NodeId, message: &Message) {
        if message.term != self.term.saturating_add(1) {
            return;
        }
        let counts = self.trail.membership().votes(from, message.disk);
        if let Stance::PreCandidate { granted } = &mut self.stance
            && counts
        {
            granted.insert(from.clone());
        }
    }

    pub(super) fn count_vote(&mut self, from: &NodeId, disk: u64) {
        let counts = self.trail.membership().votes(from, disk);
        if let Stance::Candidate { granted, .. } = &mut self.stance
            && counts
        {
            granted.insert(from.clone());
        }
    }

    /// Goes on to the next stage once a majority agrees. The own vote counts
    /// only when it is synced, as every other one.
    pub(super) fn advance_election(&mut self) {
        let quorum = self.trail.membership().quorum();
        match &mut self.stance {
            Stance::PreCandidate { granted } if granted.len() >= quorum => self.ask_votes(),
            Stance::Candidate { granted, own } => {
                if *own <= self.synced {
                    granted.insert(self.setup.me.clone());
                }
                if granted.len() >= quorum {
                    self.lead();
                }
            }
            _ => {}
        }
    }

    fn is_behind_or_equal(&self, last: (Term, Index)) -> bool {
        last >= (self.trail.last_term(), self.trail.last())
    }

    fn other_voters(&self) -> Vec<(NodeId, u64)> {
        let voters = &self.trail.membership().voters;
        let others = voters.iter().filter(|(node, _)| **node != self.setup.me);
        others.map(|(node, disk)| (node.clone(), *disk)).collect()
    }
}
