//! How an agent finds the leader of control and brings it what is due.

use std::time::Duration;

use crate::claim::Action;
use crate::claim::Message;
use crate::claim::Output;
use crate::clock::Moment;
use crate::id::NodeId;

use super::Agent;
use super::pending::Stage;

/// Actions in one message: about 50 KB without answers.
const MESSAGE_LIMIT: usize = 256;
/// Time without a receipt after which an action goes to another replica; above a
/// round trip between regions and a slow sync, below an election.
const RETRY: Duration = Duration::from_millis(300);
/// Shortest time between two redirects that are followed, so that two replicas
/// that point at each other can't make a storm.
const REDIRECT_GAP: Duration = Duration::from_millis(50);

impl Agent {
    pub(super) fn position(&self, id: &NodeId) -> Option<usize> {
        self.controls.iter().position(|control| control == id)
    }

    /// Follows a hint of the replica that was asked; others are out of date.
    pub(super) fn redirect(&mut self, now: Moment, from: &NodeId, leader: Option<NodeId>) {
        if self.controls.get(self.leader) != Some(from) {
            return;
        }
        match leader.and_then(|id| self.position(&id)) {
            Some(position) if now >= self.redirected_at + REDIRECT_GAP => {
                self.redirected_at = now;
                self.turn_to(now, position);
            }
            Some(_) => {}
            None => self.leader = (self.leader + 1) % self.controls.len(),
        }
    }

    /// Takes another replica for the leader and brings it all that waits.
    fn turn_to(&mut self, now: Moment, position: usize) {
        self.turned_at = now;
        self.leader = position;
        let waiting = self.pending.iter().filter(|(_, pending)| pending.stage != Stage::Held);
        let waiting = waiting.map(|(sequence, _)| *sequence).collect::<Vec<_>>();
        waiting.into_iter().for_each(|sequence| self.schedule(sequence, now));
    }

    /// Sends what is due to the replica believed to lead; a fresh abandon to all,
    /// since it mostly comes of not knowing which one leads, and the caller may be
    /// at another entry already.
    pub(super) fn flush(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.controls.is_empty() || self.due.first().is_none_or(|(at, _)| *at > now) {
            return;
        }
        self.leave_silent(now);
        let mut actions = Vec::new();
        let mut given_up = Vec::new();
        while let Some((at, sequence)) = self.due.first().copied() {
            if at > now {
                break;
            }
            self.due.pop_first();
            let claim = self.claim(sequence);
            let Some(pending) = self.pending.get_mut(&sequence) else { continue };
            let action = pending.action(claim);
            if pending.stage == Stage::Abandoning && pending.tries == 0 {
                given_up.extend(action.clone());
            }
            actions.extend(action);
            pending.tries += 1;
            let retry = pending.retry(RETRY);
            self.schedule(sequence, now + retry);
        }
        self.flushed_at = now;
        self.submit(self.leader, &actions, outputs);
        (0..self.controls.len())
            .filter(|position| *position != self.leader)
            .for_each(|position| self.submit(position, &given_up, outputs));
    }

    fn submit(&self, position: usize, actions: &[Action], outputs: &mut Vec<Output>) {
        let Some(to) = self.controls.get(position) else { return };
        for actions in actions.chunks(MESSAGE_LIMIT) {
            let message = Message::Submit(actions.to_vec());
            outputs.push(Output::Send { message, to: to.clone() });
        }
    }

    /// Turns to the next replica when a claim that is due had no receipt from this
    /// one; one that does not lead, or is cut off, would hold it till its end.
    fn leave_silent(&mut self, now: Moment) {
        if now < self.turned_at + RETRY {
            return;
        }
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        let silent = due
            .filter_map(|(_, sequence)| self.pending.get(sequence))
            .any(|pending| pending.tries > 0);
        if silent {
            self.turn_to(now, (self.leader + 1) % self.controls.len());
        }
    }
}
