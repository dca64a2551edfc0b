//! Checks the term of received messages and dispatches them.

use super::message::Body;
use super::message::Message;
use super::replica::Replica;
use super::replica::State;
use crate::id::NodeId;

impl Replica {
    pub(super) fn receive(&mut self, from: &NodeId, message: Message) {
        if message.to != self.disk {
            return;
        }
        if let Body::PreVote { last_index, last_term } = message.body {
            return self.answer_pre_vote(from, &message, (last_term, last_index));
        }
        if matches!(message.body, Body::PreVoted { granted: true }) {
            return self.count_pre_vote(from, &message);
        }
        if matches!(message.body, Body::Vote { .. }) && self.has_leader() {
            return;
        }
        if message.term > self.term {
            self.adopt_term(message.term);
        }
        if message.term < self.term {
            return self.answer_stale(from, &message);
        }
        self.receive_current(from, message);
    }

    fn receive_current(&mut self, from: &NodeId, message: Message) {
        let disk = message.disk;
        match message.body {
            Body::Append { commit, entries, prev_index, prev_term, round } => {
                if self.follow_leader(from) {
                    let outcome = self.append_entries((prev_index, prev_term), entries);
                    let answer = self.answer_append(round, prev_index, outcome, commit);
                    self.send(from, disk, answer);
                }
            }
            Body::Chunk { bytes, index, index_term, membership, offset, round, total } => {
                if self.follow_leader(from) {
                    let header = (index, index_term, membership, total);
                    self.receive_chunk(from, disk, round, header, offset, &bytes);
                }
            }
            Body::Appended { matched, round } => self.handle_appended(from, disk, round, matched),
            Body::Chunked { index, offset, round } => {
                self.handle_chunked(from, disk, round, index, offset);
            }
            Body::Mismatch { hint, prev_index, round } => {
                self.handle_mismatch(from, disk, round, (prev_index, hint));
            }
            Body::Vote { last_index, last_term } => {
                self.answer_vote(from, disk, (last_term, last_index));
            }
            Body::Voted { granted: true } => self.count_vote(from, disk),
            Body::PreVote { .. } | Body::PreVoted { .. } | Body::Stale | Body::Voted { .. } => {}
        }
    }

    /// Tells a leader or candidate of an older term about the newer one, so that it
    /// doesn't wait for answers that never come.
    fn answer_stale(&mut self, from: &NodeId, message: &Message) {
        let expects_answer =
            matches!(message.body, Body::Append { .. } | Body::Chunk { .. } | Body::Vote { .. });
        if expects_answer {
            self.send(from, message.disk, Body::Stale);
        }
    }

    /// Follows `from`, which an append or chunk proves to lead in the current term.
    /// Returns `false` if this replica is the leader itself.
    fn follow_leader(&mut self, from: &NodeId) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.state = State::Follower;
        self.leader = Some(from.clone());
        self.leader_heard_at = Some(self.now);
        self.has_heard_leader = true;
        self.reset_deadline();
        true
    }
}
