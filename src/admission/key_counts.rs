use std::collections::BTreeMap;

use crate::id::Key;

/// Number of running and waiting requests per key.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyCounts(BTreeMap<Key, Counts>);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    running: usize,
    waiting: usize,
}

impl KeyCounts {
    /// Number of running requests about `key`.
    pub(super) fn running(&self, key: Option<&Key>) -> usize {
        self.counts(key).running
    }

    /// Number of waiting requests about `key`.
    pub(super) fn waiting(&self, key: Option<&Key>) -> usize {
        self.counts(key).waiting
    }

    /// Records that a request about `key` starts to wait.
    pub(super) fn add_waiting(&mut self, key: Option<&Key>) {
        self.change(key, |counts| counts.waiting += 1);
    }

    /// Records that a request about `key` no longer waits.
    pub(super) fn remove_waiting(&mut self, key: Option<&Key>) {
        self.change(key, |counts| counts.waiting -= 1);
    }

    /// Records that a request about `key` started.
    pub(super) fn add_running(&mut self, key: Option<&Key>) {
        self.change(key, |counts| counts.running += 1);
    }

    /// Records that a request about `key` ended.
    pub(super) fn remove_running(&mut self, key: Option<&Key>) {
        self.change(key, |counts| counts.running -= 1);
    }

    fn counts(&self, key: Option<&Key>) -> Counts {
        key.and_then(|key| self.0.get(key)).copied().unwrap_or_default()
    }

    fn change(&mut self, key: Option<&Key>, change: impl Fn(&mut Counts)) {
        let Some(key) = key else { return };
        let counts = self.0.entry(key.clone()).or_default();
        change(counts);
        if counts.running == 0 && counts.waiting == 0 {
            self.0.remove(key);
        }
    }
}
