//! Recent patches, for peers that are a few versions behind.

use std::collections::VecDeque;

use super::Head;
use super::Patch;

/// Patches kept: the changes of about an hour at 1,400 a day.
const COUNT_LIMIT: usize = 64;
/// Bytes kept; a longer chain costs more than a whole document is worth.
const SIZE_LIMIT: usize = 256 << 10;

/// Unbroken chain of patches that ends at the version held.
#[derive(Clone, Debug, Default)]
pub(super) struct Trail {
    patches: VecDeque<Patch>,
    size: usize,
}

impl Trail {
    /// Adds the patch that led to the version now held.
    pub(super) fn push(&mut self, patch: Patch) {
        if self.patches.back().is_some_and(|last| last.head != patch.base) {
            self.clear();
        }
        self.size += patch.size();
        self.patches.push_back(patch);
        while self.patches.len() > COUNT_LIMIT || self.size > SIZE_LIMIT {
            let Some(first) = self.patches.pop_front() else { break };
            self.size -= first.size();
        }
    }

    /// Forgets all, after a jump that no patch describes.
    pub(super) fn clear(&mut self) {
        self.patches.clear();
        self.size = 0;
    }

    /// Patches from `base` to the version held, if the chain goes back that far.
    pub(super) fn since(&self, base: Head) -> Option<Vec<Patch>> {
        let start = self.patches.iter().position(|patch| patch.base == base)?;
        Some(self.patches.iter().skip(start).cloned().collect())
    }

    /// The last patch.
    pub(super) fn last(&self) -> Option<&Patch> {
        self.patches.back()
    }
}
