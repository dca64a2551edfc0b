//! Discovery and retrieval of newer versions.

use rand::seq::IteratorRandom;

use crate::clock::Moment;
use crate::config::Head;
use crate::config::Message;
use crate::config::Output;
use crate::config::Patch;
use crate::config::Version;
use crate::id::NodeId;

use super::Replicator;
use super::Request;

/// Peers that are remembered as sources of a newer version.
const MAX_SOURCES: usize = 16;

impl Replicator {
    pub(super) fn receive_digest(
        &mut self,
        now: Moment,
        from: NodeId,
        theirs: Option<Head>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(head) = theirs {
            self.receive_offer(now, from.clone(), head, outputs);
        }
        if theirs < self.head {
            self.send_update(from, theirs, outputs);
        }
    }

    /// Records which version a peer holds, and requests it if it is newer.
    pub(super) fn receive_offer(
        &mut self,
        now: Moment,
        from: NodeId,
        head: Head,
        outputs: &mut Vec<Output>,
    ) {
        if Some(head) >= self.head {
            self.mark_known(&from);
        }
        if !self.is_newer(head) {
            return;
        }
        if self.sources.len() < MAX_SOURCES {
            self.sources.insert(from, head);
        }
        if self.request.is_none() {
            self.send_request(now, outputs);
        }
    }

    pub(super) fn mark_known(&mut self, peer: &NodeId) {
        if let Some(push) = &mut self.push {
            push.known.insert(peer.clone());
        }
    }

    pub(super) fn send_request(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some((from, _)) = self.sources.iter().choose(&mut self.random) else { return };
        let to = from.clone();
        let base = if self.needs_document { None } else { self.head };
        outputs.push(Output::Send { message: Message::Want(base), to: to.clone() });
        self.request = Some(Request { at: now, from: to });
    }

    pub(super) fn receive_patches(
        &mut self,
        now: Moment,
        from: NodeId,
        patches: &[Patch],
        outputs: &mut Vec<Output>,
    ) {
        let Some(last) = patches.last() else { return };
        if !self.is_newer(last.head) {
            self.mark_known(&from);
            return;
        }
        match self.apply_patches(patches) {
            Some(version) => {
                let newer = patches.iter().filter(|patch| Some(patch.head) > self.head);
                newer.for_each(|patch| self.history.push(patch.clone()));
                self.replace_current(now, version, Some(from), outputs);
            }
            None => self.receive_offer(now, from, last.head, outputs),
        }
    }

    pub(super) fn apply_patches(&mut self, patches: &[Patch]) -> Option<Version> {
        let mut version = self.current.clone()?;
        for patch in patches.iter().filter(|patch| Some(patch.head) > self.head) {
            if patch.base.number != version.number {
                return None;
            }
            match patch.apply(&version) {
                Ok(next) => version = next,
                Err(_) => {
                    self.needs_document = true;
                    return None;
                }
            }
        }
        Some(version)
    }

    pub(super) fn receive_document(
        &mut self,
        now: Moment,
        from: NodeId,
        version: Version,
        outputs: &mut Vec<Output>,
    ) {
        if self.is_newer(version.head()) {
            self.history.clear();
            self.replace_current(now, version, Some(from), outputs);
        }
    }

    /// Repeats an unanswered request, to another source if one is known.
    pub(super) fn run_request(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let timeout = self.settings.request_timeout;
        if let Some(request) = self.request.take_if(|request| request.at + timeout <= now) {
            if self.sources.len() > 1 {
                self.sources.remove(&request.from);
            }
            self.send_request(now, outputs);
        }
    }
}
