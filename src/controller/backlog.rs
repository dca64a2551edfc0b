//! When the log is compacted.

/// Entries applied between two snapshots.
const MAX_ENTRIES: usize = 5_000;
/// Changes of the configuration between two snapshots. Each makes a whole document of a few bytes.
const MAX_CHANGES: usize = 500;
/// Bytes of commands between two snapshots of a small state. With a larger one, they may be as many as
/// the snapshot's, so that snapshots cost no more than what they replace.
const MIN_BYTES: usize = 4 << 20;

/// What was applied since the last snapshot. It bounds the log, in memory and on disk, and what a
/// restart replays.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    bytes: usize,
    changes: usize,
    entries: usize,
    /// Bytes of the last snapshot.
    snapshot: usize,
}

impl Backlog {
    /// Adds a command of this many bytes.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.entries += 1;
    }

    /// Counts the last command as a change of the configuration.
    pub(super) fn add_change(&mut self) {
        self.changes += 1;
    }

    /// Whether a snapshot is due.
    pub(super) fn is_full(&self) -> bool {
        self.bytes >= self.snapshot.max(MIN_BYTES)
            || self.changes >= MAX_CHANGES
            || self.entries >= MAX_ENTRIES
    }

    /// Starts again after a snapshot of this many bytes.
    pub(super) fn restart(&mut self, snapshot: usize) {
        *self = Self { snapshot, ..Self::default() };
    }
}
