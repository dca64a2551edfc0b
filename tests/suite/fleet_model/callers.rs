//! Callers with lists of entries that they keep for some seconds.

use std::time::Duration;

use hemlockfield::clock::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

/// Number of callers.
const CALLERS: usize = 60;
/// How long a caller keeps a list.
const LIFETIME_MS: std::ops::Range<u64> = 1_000..5_000;

#[derive(Clone, Debug, Default)]
struct Caller {
    entries: Vec<usize>,
    until: Moment,
}

/// Callers with the entries that they know.
#[derive(Clone, Debug)]
pub(super) struct Callers(Vec<Caller>);

impl Callers {
    pub(super) fn new() -> Self {
        Self(vec![Caller::default(); CALLERS])
    }

    /// Chooses the entry for a request of some caller, which asks for a new list where its own has
    /// expired or names no entry that `accepts` connections.
    pub(super) fn choose(
        &mut self,
        now: Moment,
        random: &mut ChaCha8Rng,
        listed: &[usize],
        accepts: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let caller = self.0.iter_mut().choose(random)?;
        caller.entries.retain(|entry| accepts(*entry));
        if now >= caller.until || caller.entries.is_empty() {
            caller.entries = listed.iter().copied().filter(|entry| accepts(*entry)).collect();
            caller.until = now + Duration::from_millis(random.random_range(LIFETIME_MS));
        }
        caller.entries.iter().copied().choose(random)
    }
}
