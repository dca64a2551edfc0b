//! How a replicator passes on the version that it holds.

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

/// Least time between two whole documents sent, so that a fleet that starts as a
/// whole can't queue hundreds of megabytes at one process; who gets none asks
/// another one, and there are twice as many after each second.
const WHOLE_GAP: Duration = Duration::from_millis(250);

impl Replicator {
    /// Brings a peer up to date that was seen to be behind.
    pub(super) fn bring(&self, to: NodeId, base: Option<Head>, outputs: &mut Vec<Output>) {
        let Some(head) = self.head else { return };
        let patches = base.and_then(|base| self.trail.since(base));
        let small = patches.filter(|patches| self.is_small(patches));
        let message = small.map_or(Message::Offer(head), Message::Patches);
        outputs.push(Output::Send { message, to });
    }

    pub(super) fn is_small(&self, patches: &[Patch]) -> bool {
        patches.iter().map(Patch::size).sum::<usize>() <= self.settings.push_bytes
    }

    pub(super) fn serve(
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
        if let Some(patches) = base.and_then(|base| self.trail.since(base)) {
            outputs.push(Output::Send { message: Message::Patches(patches), to });
            return;
        }
        if now < self.whole_at {
            return;
        }
        self.whole_at = now + WHOLE_GAP;
        outputs.push(Output::Send { message: Message::Whole(version.clone()), to });
    }

    pub(super) fn run_push(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(mut push) = self.push.take_if(|push| push.at <= now) else { return };
        let Some(head) = self.head else { return };
        let count = push.left.min(self.settings.push_width);
        let others = self.peers.keys().filter(|id| !push.known.contains(*id));
        for to in others.cloned().choose_multiple(&mut self.random, count) {
            push.known.insert(to.clone());
            let last = self.trail.last().filter(|patch| patch.head == head);
            self.bring(to, last.map(|patch| patch.base), outputs);
        }
        push.left -= count;
        push.at = now + self.settings.push_gap;
        self.push = Some(push).filter(|push| push.left > 0);
    }

    pub(super) fn run_digest(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.digest_at > now {
            return;
        }
        let period = self.settings.digest_period;
        self.digest_at = now + period.mul_f64(self.random.random_range(0.5..1.5));
        if let Some(to) = self.peers.keys().choose(&mut self.random) {
            outputs.push(Output::Send { message: Message::Digest(self.head), to: to.clone() });
        }
    }
}
