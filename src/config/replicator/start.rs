//! When a replicator's process may take callers.

use rand::seq::IndexedRandom;

use crate::clock::Moment;
use crate::config::Head;
use crate::config::Message;
use crate::config::Output;
use crate::config::Standing;
use crate::config::witness::Witness;
use crate::id::NodeId;

use super::Replicator;

/// Peers without a role in control that a starting process asks at a time.
const ASKED: usize = 5;

/// What a peer answered.
pub(super) struct Answer {
    pub(super) head: Option<Head>,
    pub(super) leads: bool,
    pub(super) standing: Standing,
}

impl Replicator {
    pub(super) fn answer(&self, to: NodeId, ask: u64, outputs: &mut Vec<Output>) {
        let message =
            Message::Answer { ask, head: self.head, leads: self.leads, standing: self.standing };
        outputs.push(Output::Send { message, to });
    }

    /// Notes an answer to this process's own question. The number of the question
    /// keeps out an answer that was given before a restart, and may be older than
    /// what the process held since.
    pub(super) fn take_answer(
        &mut self,
        now: Moment,
        from: NodeId,
        ask: u64,
        answer: Answer,
        outputs: &mut Vec<Output>,
    ) {
        if ask != self.ask {
            return;
        }
        let domain = self.peers.get(&from).map(|peer| peer.domain.clone()).unwrap_or_default();
        let Answer { head, leads, standing } = answer;
        self.witnesses.insert(from.clone(), Witness { domain, head, leads, standing });
        if let Some(head) = head {
            self.consider(now, from, head, outputs);
        }
    }

    pub(super) fn run_ask(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.ask_at > now || self.peers.is_empty() {
            return;
        }
        self.ask_at = now + self.settings.retry;
        let (control, others): (Vec<_>, Vec<_>) =
            self.peers.values().partition(|peer| peer.control);
        let others = others.choose_multiple(&mut self.random, ASKED).copied();
        for peer in control.into_iter().chain(others) {
            outputs.push(Output::Send { message: Message::Ask(self.ask), to: peer.id.clone() });
        }
    }

    pub(super) fn stand(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let standing = self.judge(now);
        if standing != self.standing {
            self.standing = standing;
            outputs.push(Output::StandingChanged(standing));
        }
    }

    pub(super) fn judge(&self, now: Moment) -> Standing {
        if self.standing == Standing::Starting && !self.is_confirmed(now) {
            return Standing::Starting;
        }
        let silent = now.saturating_sub(self.heard_at) >= self.settings.alone_after;
        if silent && !self.leads && !self.peers.is_empty() {
            Standing::ServingAlone
        } else {
            Standing::Serving
        }
    }

    /// Whether what is held can't be older than what this process held before it
    /// started, as far as control or several peers can tell.
    ///
    /// Without it, an entry that restarts beside a stale replica would take callers
    /// by a version that it had already left. The leader of control knows all that
    /// was accepted. Peers know what reached more than this process, since a change
    /// is everywhere within `control_wait`.
    pub(super) fn is_confirmed(&self, now: Moment) -> bool {
        if self.leads {
            return true;
        }
        if self.witnesses.is_empty() || self.witnesses.highest() > self.head {
            return false;
        }
        if self.witnesses.has_leader() {
            return true;
        }
        let waited = now.saturating_sub(self.started_at);
        let known = self.head.is_some();
        let by_peers =
            waited >= self.settings.control_wait && self.witnesses.suffice(&self.settings);
        known && (by_peers || waited >= self.settings.cold_wait)
    }
}
