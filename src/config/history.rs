//! Recent patches, for peers that are a few versions behind.

use std::collections::VecDeque;

use super::Head;
use super::Patch;

/// Patches kept at most: about an hour of changes at 1,400 a day.
const MAX_PATCHES: usize = 64;
/// Bytes of patches kept at most. Beyond that, sending a whole document is cheaper.
const MAX_BYTES: usize = 256 << 10;

/// Consecutive patches, of which the last one produces the version held.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    patches: VecDeque<Patch>,
    size: usize,
}

impl History {
    /// Adds the patch that produced the version now held.
    pub(super) fn push(&mut self, patch: Patch) {
        if self.patches.back().is_some_and(|last| last.head != patch.base) {
            self.clear();
        }
        self.size += patch.size();
        self.patches.push_back(patch);
        while self.patches.len() > MAX_PATCHES || self.size > MAX_BYTES {
            let Some(first) = self.patches.pop_front() else { break };
            self.size -= first.size();
        }
    }

    /// Removes all patches, after a change of version without a patch.
    pub(super) fn clear(&mut self) {
        self.patches.clear();
        self.size = 0;
    }

    /// Patches from `base` to the version held, if the history reaches back that far.
    pub(super) fn since(&self, base: Head) -> Option<Vec<Patch>> {
        let start = self.patches.iter().position(|patch| patch.base == base)?;
        Some(self.patches.iter().skip(start).cloned().collect())
    }

    /// The patch that produced the version held.
    pub(super) fn last(&self) -> Option<&Patch> {
        self.patches.back()
    }
}
