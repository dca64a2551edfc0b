//! Decision whether the process may serve callers.

use rand::seq::IndexedRandom;

use crate::clock::Moment;
use crate::config::Head;
use crate::config::Message;
use crate::config::Output;
use crate::config::Standing;
use crate::config::peer_answer::PeerAnswer;
use crate::id::NodeId;

use super::Replicator;

/// Peers other than control replicas that a starting process asks at a time.
const PEERS_PER_ASK: usize = 5;

/// Content of a peer's [`Message::Answer`].
pub(super) struct Answer {
    pub(super) head: Option<Head>,
    pub(super) is_leader: bool,
    pub(super) standing: Standing,
}

impl Replicator {
    pub(super) fn answer_ask(&self, to: NodeId, ask: u64, outputs: &mut Vec<Output>) {
        let message = Message::Answer {
            ask,
            head: self.head,
            leads: self.is_leader,
            standing: self.standing,
        };
        outputs.push(Output::Send { message, to });
    }

    /// Records an answer to a [`Message::Ask`] of this process. An answer with another number
    /// was meant for the process before a restart and may be older than what it held since,
    /// so it is ignored.
    pub(super) fn receive_answer(
        &mut self,
        now: Moment,
        from: NodeId,
        ask: u64,
        answer: Answer,
        outputs: &mut Vec<Output>,
    ) {
        if ask != self.ask_id {
            return;
        }
        let domain = self.peers.get(&from).map(|peer| peer.domain.clone()).unwrap_or_default();
        let Answer { head, is_leader, standing } = answer;
        self.peer_answers.insert(from.clone(), PeerAnswer { domain, head, is_leader, standing });
        if let Some(head) = head {
            self.receive_offer(now, from, head, outputs);
        }
    }

    pub(super) fn run_ask(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.next_ask_at > now || self.peers.is_empty() {
            return;
        }
        self.next_ask_at = now + self.settings.request_timeout;
        let (control, others): (Vec<_>, Vec<_>) =
            self.peers.values().partition(|peer| peer.control);
        let others = others.choose_multiple(&mut self.random, PEERS_PER_ASK).copied();
        for peer in control.into_iter().chain(others) {
            outputs.push(Output::Send { message: Message::Ask(self.ask_id), to: peer.id.clone() });
        }
    }

    pub(super) fn update_standing(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let standing = self.next_standing(now);
        if standing != self.standing {
            self.standing = standing;
            outputs.push(Output::StandingChanged(standing));
        }
    }

    pub(super) fn next_standing(&self, now: Moment) -> Standing {
        if self.standing == Standing::Starting && !self.is_confirmed(now) {
            return Standing::Starting;
        }
        let is_isolated = now.saturating_sub(self.last_heard_at) >= self.settings.isolation_timeout;
        if is_isolated && !self.is_leader && !self.peers.is_empty() {
            Standing::ServingAlone
        } else {
            Standing::Serving
        }
    }

    /// Whether control or several peers confirm that the version held is not older than the
    /// one this process held before it started.
    ///
    /// Otherwise an entry that restarts next to a stale replica would serve callers by a
    /// version that it had already replaced. The leader of control knows every accepted
    /// version. Peers know every version that had spread beyond this process, because a
    /// change reaches all processes within `control_wait`.
    pub(super) fn is_confirmed(&self, now: Moment) -> bool {
        if self.is_leader {
            return true;
        }
        if self.peer_answers.is_empty() || self.peer_answers.highest() > self.head {
            return false;
        }
        if self.peer_answers.has_leader() {
            return true;
        }
        let waited = now.saturating_sub(self.started_at);
        let has_version = self.head.is_some();
        let by_peers = waited >= self.settings.control_wait
            && self.peer_answers.are_sufficient(&self.settings);
        has_version && (by_peers || waited >= self.settings.cold_start_wait)
    }
}
