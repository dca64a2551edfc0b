//! The caller's side: keeps an answer and moves on when an entry fails.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Moment;
use crate::directory::Answer;

/// How long a caller waits before it asks again after an answer did not come.
const RETRY: Duration = Duration::from_secs(1);

/// What a caller remembers.
///
/// Use: where [`Client::ask`] names an entry, get the entries resource there and give
/// what came to [`Client::learn`] or [`Client::unanswered`]; send requests to
/// [`Client::entry`], and tell [`Client::failed`] when it can't be connected to.
/// An answer whose lifetime is over stays in use until another one is there: old
/// entries that mostly work are better than none.
#[derive(Clone, Debug)]
pub struct Client {
    ask_at: Moment,
    entries: Vec<SocketAddr>,
    failed: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    turn: usize,
}

impl Client {
    /// Caller that knows some entries' addresses to begin with.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { ask_at: Moment::ZERO, entries: Vec::new(), failed: Vec::new(), seeds, turn: 0 }
    }

    /// Entry to ask for a new answer, where that is due: one in use, else a seed.
    pub fn ask(&self, now: Moment) -> Option<SocketAddr> {
        if now < self.ask_at {
            return None;
        }
        let known = self.entries().chain(self.seeds.iter().copied());
        let known: Vec<SocketAddr> = known.collect();
        known.get(self.turn % known.len().max(1)).copied()
    }

    /// Entries of the answer that have not failed, in order. A caller that sends very
    /// much may use the first few in turn.
    pub fn entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().copied().filter(|entry| !self.failed.contains(entry))
    }

    /// Entry to send requests to.
    pub fn entry(&self) -> Option<SocketAddr> {
        self.entries().next().or_else(|| self.seeds.first().copied())
    }

    /// An entry can't be connected to: the next one is used. When all have failed, a
    /// new answer is due at once and they may be tried again.
    pub fn failed(&mut self, now: Moment, entry: SocketAddr) {
        if !self.failed.contains(&entry) {
            self.failed.push(entry);
        }
        if self.entries().next().is_none() {
            self.failed.clear();
            self.ask_at = self.ask_at.min(now);
        }
    }

    /// An answer came.
    pub fn learn(&mut self, now: Moment, answer: Answer) {
        if answer.entries.is_empty() {
            self.unanswered(now);
            return;
        }
        self.ask_at = now + answer.lifetime();
        self.entries = answer.entries;
        self.failed.clear();
        self.turn = 0;
    }

    /// No answer came: another entry is asked after a while.
    pub fn unanswered(&mut self, now: Moment) {
        self.ask_at = now + RETRY;
        self.turn = self.turn.wrapping_add(1);
    }
}
