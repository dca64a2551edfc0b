//! Pushes, digests and answers that pass the version held on to peers.

use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Moment;
use crate::config::Head;
use crate::config::Message;
use crate::config::Output;
use crate::config::Patch;
use crate::id::NodeId;

use super::Replicator;

/// Minimum time between two whole documents sent, so that a start of the whole fleet can't
/// queue hundreds of megabytes at one process. A peer that gets none asks another process;
/// the number of processes that hold the document doubles about every second.
const MIN_DOCUMENT_INTERVAL: Duration = Duration::from_millis(250);

impl Replicator {
    /// Sends the patches after `base` to a peer that is behind, or offers the version held
    /// if they are too large or not known.
    pub(super) fn send_update(&self, to: NodeId, base: Option<Head>, outputs: &mut Vec<Output>) {
        let Some(head) = self.head else { return };
        let patches = base.and_then(|base| self.history.since(base));
        let pushable = patches.filter(|patches| self.is_pushable(patches));
        let message = pushable.map_or(Message::Offer(head), Message::Patches);
        outputs.push(Output::Send { message, to });
    }

    pub(super) fn is_pushable(&self, patches: &[Patch]) -> bool {
        patches.iter().map(Patch::size).sum::<usize>() <= self.settings.max_push_bytes
    }

    pub(super) fn answer_want(
        &mut self,
        now: Moment,
        to: NodeId,
        base: Option<Head>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(version) = &self.current else { return };
        if base >= self.head {
            return;
        }
        if let Some(patches) = base.and_then(|base| self.history.since(base)) {
            outputs.push(Output::Send { message: Message::Patches(patches), to });
            return;
        }
        if now < self.next_document_at {
            return;
        }
        self.next_document_at = now + MIN_DOCUMENT_INTERVAL;
        outputs.push(Output::Send { message: Message::Whole(version.clone()), to });
    }

    pub(super) fn run_push(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(mut push) = self.push.take_if(|push| push.at <= now) else { return };
        let Some(head) = self.head else { return };
        let count = push.remaining.min(self.settings.push_batch);
        let others = self.peers.keys().filter(|id| !push.known.contains(*id));
        for to in others.cloned().choose_multiple(&mut self.random, count) {
            push.known.insert(to.clone());
            let last = self.history.last().filter(|patch| patch.head == head);
            self.send_update(to, last.map(|patch| patch.base), outputs);
        }
        push.remaining -= count;
        push.at = now + self.settings.push_interval;
        self.push = Some(push).filter(|push| push.remaining > 0);
    }

    pub(super) fn run_digest(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.next_digest_at > now {
            return;
        }
        let period = self.settings.digest_period;
        self.next_digest_at = now + period.mul_f64(self.random.random_range(0.5..1.5));
        if let Some(to) = self.peers.keys().choose(&mut self.random) {
            outputs.push(Output::Send { message: Message::Digest(self.head), to: to.clone() });
        }
    }
}
