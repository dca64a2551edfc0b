//! Delivery of due actions to the control leader, and the search for that leader.

use std::time::Duration;

use crate::claim::Action;
use crate::claim::Message;
use crate::claim::Output;
use crate::clock::Moment;
use crate::id::NodeId;

use super::Agent;
use super::pending::Stage;

/// Most actions in one message: about 50 KB without answers.
const MAX_MESSAGE_ACTIONS: usize = 256;
/// Time without a receipt after which an action is sent to another replica. Longer than a
/// round trip between regions plus a slow sync, shorter than an election.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest time between two redirects that are followed, so that two replicas that
/// redirect to each other don't cause a flood of messages.
const MIN_REDIRECT_INTERVAL: Duration = Duration::from_millis(50);

impl Agent {
    pub(super) fn position(&self, id: &NodeId) -> Option<usize> {
        self.controls.iter().position(|control| control == id)
    }

    /// Follows a redirect from the replica believed to lead; redirects from others are
    /// outdated.
    pub(super) fn redirect(&mut self, now: Moment, from: &NodeId, leader: Option<NodeId>) {
        if self.controls.get(self.leader) != Some(from) {
            return;
        }
        match leader.and_then(|id| self.position(&id)) {
            Some(position) if now >= self.redirected_at + MIN_REDIRECT_INTERVAL => {
                self.redirected_at = now;
                self.switch_to(now, position);
            }
            Some(_) => {}
            None => self.leader = (self.leader + 1) % self.controls.len(),
        }
    }

    /// Treats another replica as the leader and schedules all unconfirmed actions for it.
    fn switch_to(&mut self, now: Moment, position: usize) {
        self.switched_at = now;
        self.leader = position;
        let waiting = self.pending.iter().filter(|(_, pending)| pending.stage != Stage::Granted);
        let waiting = waiting.map(|(sequence, _)| *sequence).collect::<Vec<_>>();
        waiting.into_iter().for_each(|sequence| self.schedule(sequence, now));
    }

    /// Sends the actions that are due to the replica believed to lead. A new abandon goes
    /// to all replicas, since its usual cause is that the leader is unknown, and the caller
    /// may already have resent through another entry.
    pub(super) fn flush(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.controls.is_empty() || self.due.first().is_none_or(|(at, _)| *at > now) {
            return;
        }
        self.switch_if_silent(now);
        let mut actions = Vec::new();
        let mut new_abandons = Vec::new();
        while let Some((at, sequence)) = self.due.first().copied() {
            if at > now {
                break;
            }
            self.due.pop_first();
            let claim = self.claim(sequence);
            let Some(pending) = self.pending.get_mut(&sequence) else { continue };
            let action = pending.action(claim);
            if pending.stage == Stage::Abandoning && pending.attempts == 0 {
                new_abandons.extend(action.clone());
            }
            actions.extend(action);
            pending.attempts += 1;
            let retry = pending.retry_delay(RETRY_INTERVAL);
            self.schedule(sequence, now + retry);
        }
        self.flushed_at = now;
        self.submit(self.leader, &actions, outputs);
        (0..self.controls.len())
            .filter(|position| *position != self.leader)
            .for_each(|position| self.submit(position, &new_abandons, outputs));
    }

    fn submit(&self, position: usize, actions: &[Action], outputs: &mut Vec<Output>) {
        let Some(to) = self.controls.get(position) else { return };
        for actions in actions.chunks(MAX_MESSAGE_ACTIONS) {
            let message = Message::Submit(actions.to_vec());
            outputs.push(Output::Send { message, to: to.clone() });
        }
    }

    /// Switches to the next replica when an action that is due again got no receipt from
    /// this one. Otherwise a replica that doesn't lead or is cut off would delay the action
    /// until it times out.
    fn switch_if_silent(&mut self, now: Moment) {
        if now < self.switched_at + RETRY_INTERVAL {
            return;
        }
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        let is_silent = due
            .filter_map(|(_, sequence)| self.pending.get(sequence))
            .any(|pending| pending.attempts > 0);
        if is_silent {
            self.switch_to(now, (self.leader + 1) % self.controls.len());
        }
    }
}
