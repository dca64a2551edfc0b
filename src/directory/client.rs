//! Caller's side of the directory: caches an answer and fails over between entries.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::directory::Answer;

/// Delay before the next request after one without an answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Cached answer of a caller.
///
/// When [`Client::ask`] returns an entry, request the entries resource there and report the
/// outcome to [`Client::set_answer`] or [`Client::mark_unanswered`]. Send requests to
/// [`Client::entry`], and report entries that refuse connections to [`Client::mark_failed`]. An
/// expired answer stays in use until there is a new one, because old entries that mostly work are
/// better than none.
#[derive(Clone, Debug)]
pub struct Client {
    ask_at: Moment,
    entries: Vec<SocketAddr>,
    failed: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    next_index: usize,
}

impl Client {
    /// Creates a client that knows only the addresses `seeds`.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { ask_at: Moment::ZERO, entries: Vec::new(), failed: Vec::new(), seeds, next_index: 0 }
    }

    /// Returns the entry to ask for a new answer, if one is due. Entries of the answer come first,
    /// then the seeds.
    pub fn ask(&self, now: Moment) -> Option<SocketAddr> {
        if now < self.ask_at {
            return None;
        }
        let candidates = self.entries().chain(self.seeds.iter().copied());
        let candidates: Vec<SocketAddr> = candidates.collect();
        candidates.get(self.next_index % candidates.len().max(1)).copied()
    }

    /// Returns the entries of the answer that have not failed, in order. A caller that sends many
    /// requests may use the first few in turn.
    pub fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().copied().filter(|entry| !self.failed.contains(entry))
    }

    /// Returns the entry to send requests to.
    pub fn entry(&self) -> Option<SocketAddr> {
        self.entries().next().or_else(|| self.seeds.first().copied())
    }

    /// Records that an entry refuses connections, so that the next one is used. When all have
    /// failed, all may be tried again and a new answer is due at once.
    pub fn mark_failed(&mut self, now: Moment, entry: SocketAddr) {
        if !self.failed.contains(&entry) {
            self.failed.push(entry);
        }
        if self.entries().next().is_none() {
            self.failed.clear();
            self.ask_at = self.ask_at.min(now);
        }
    }

    /// Replaces the answer.
    pub fn set_answer(&mut self, now: Moment, answer: Answer) {
        if answer.entries.is_empty() {
            self.mark_unanswered(now);
            return;
        }
        self.ask_at = now + answer.lifetime();
        self.entries = answer.entries;
        self.failed.clear();
        self.next_index = 0;
    }

    /// Records a request without an answer. Another entry is asked after a delay.
    pub fn mark_unanswered(&mut self, now: Moment) {
        self.ask_at = now + RETRY_DELAY;
        self.next_index = self.next_index.wrapping_add(1);
    }
}
