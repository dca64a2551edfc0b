use std::collections::BTreeMap;

use crate::id::Key;

/// Requests by what they are about.
#[derive(Clone, Debug, Default)]
pub(super) struct Keys(BTreeMap<Key, Held>);

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    running: usize,
    waiting: usize,
}

impl Keys {
    /// Requests about `key` that run.
    pub(super) fn running(&self, key: Option<&Key>) -> usize {
        self.held(key).running
    }

    /// Requests about `key` that wait.
    pub(super) fn waiting(&self, key: Option<&Key>) -> usize {
        self.held(key).waiting
    }

    /// Notes that one about `key` has come to wait.
    pub(super) fn enter(&mut self, key: Option<&Key>) {
        self.change(key, |held| held.waiting += 1);
    }

    /// Notes that one about `key` waits no longer.
    pub(super) fn leave(&mut self, key: Option<&Key>) {
        self.change(key, |held| held.waiting -= 1);
    }

    /// Notes that one about `key` has been started.
    pub(super) fn start(&mut self, key: Option<&Key>) {
        self.change(key, |held| held.running += 1);
    }

    /// Notes that one about `key` has ended.
    pub(super) fn finish(&mut self, key: Option<&Key>) {
        self.change(key, |held| held.running -= 1);
    }

    fn held(&self, key: Option<&Key>) -> Held {
        key.and_then(|key| self.0.get(key)).copied().unwrap_or_default()
    }

    fn change(&mut self, key: Option<&Key>, change: impl Fn(&mut Held)) {
        let Some(key) = key else { return };
        let held = self.0.entry(key.clone()).or_default();
        change(held);
        if held.running == 0 && held.waiting == 0 {
            self.0.remove(key);
        }
    }
}
