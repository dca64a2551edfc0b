//! How a replicator learns of newer versions, and gets them.

use rand::seq::IteratorRandom;

use crate::clock::Moment;
use crate::config::Head;
use crate::config::Message;
use crate::config::Output;
use crate::config::Patch;
use crate::config::Version;
use crate::id::NodeId;

use super::Replicator;
use super::Want;

/// Known sources of a newer version that are remembered.
const SOURCE_LIMIT: usize = 16;

impl Replicator {
    pub(super) fn compare(
        &mut self,
        now: Moment,
        from: NodeId,
        theirs: Option<Head>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(head) = theirs {
            self.consider(now, from.clone(), head, outputs);
        }
        if theirs < self.head {
            self.bring(from, theirs, outputs);
        }
    }

    /// Notes what a peer holds, and asks for it if it is newer.
    pub(super) fn consider(
        &mut self,
        now: Moment,
        from: NodeId,
        head: Head,
        outputs: &mut Vec<Output>,
    ) {
        if Some(head) >= self.head {
            self.note_known(&from);
        }
        if !self.is_newer(head) {
            return;
        }
        if self.sources.len() < SOURCE_LIMIT {
            self.sources.insert(from, head);
        }
        if self.want.is_none() {
            self.request(now, outputs);
        }
    }

    pub(super) fn note_known(&mut self, peer: &NodeId) {
        if let Some(push) = &mut self.push {
            push.known.insert(peer.clone());
        }
    }

    pub(super) fn request(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some((from, _)) = self.sources.iter().choose(&mut self.random) else { return };
        let to = from.clone();
        let base = if self.want_whole { None } else { self.head };
        outputs.push(Output::Send { message: Message::Want(base), to: to.clone() });
        self.want = Some(Want { at: now, from: to });
    }

    pub(super) fn take_patches(
        &mut self,
        now: Moment,
        from: NodeId,
        patches: &[Patch],
        outputs: &mut Vec<Output>,
    ) {
        let Some(last) = patches.last() else { return };
        if !self.is_newer(last.head) {
            self.note_known(&from);
            return;
        }
        match self.patched(patches) {
            Some(version) => {
                let newer = patches.iter().filter(|patch| Some(patch.head) > self.head);
                newer.for_each(|patch| self.trail.push(patch.clone()));
                self.hold(now, version, Some(from), outputs);
            }
            None => self.consider(now, from, last.head, outputs),
        }
    }

    pub(super) fn patched(&mut self, patches: &[Patch]) -> Option<Version> {
        let mut version = self.current.clone()?;
        for patch in patches.iter().filter(|patch| Some(patch.head) > self.head) {
            if patch.base.number != version.number {
                return None;
            }
            match patch.apply(&version) {
                Ok(next) => version = next,
                Err(_) => {
                    self.want_whole = true;
                    return None;
                }
            }
        }
        Some(version)
    }

    pub(super) fn take_whole(
        &mut self,
        now: Moment,
        from: NodeId,
        version: Version,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_newer(version.head()) {
            self.trail.clear();
            self.hold(now, version, Some(from), outputs);
        }
    }

    /// Turns to another source when one does not answer.
    pub(super) fn run_want(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let retry = self.settings.retry;
        if let Some(want) = self.want.take_if(|want| want.at + retry <= now) {
            if self.sources.len() > 1 {
                self.sources.remove(&want.from);
            }
            self.request(now, outputs);
        }
    }
}
