//! Whether broken answers are the entry's own fault.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::UpstreamId;

/// An entry to which so many upstreams broke answers within the span takes itself for the
/// cause: with a third of them at fault one entry meets one such in three seconds.
const UPSTREAMS: usize = 4;
const SPAN: Duration = Duration::from_secs(3);

/// The upstreams that lately broke answers to this entry.
#[derive(Debug, Default)]
pub(super) struct Blame {
    broken: VecDeque<(Moment, UpstreamId)>,
}

impl Blame {
    /// Notes that an upstream broke an answer, or is late with it.
    pub(super) fn note(&mut self, now: Moment, upstream: &UpstreamId) {
        self.broken.push_back((now, upstream.clone()));
    }

    /// Whether so many upstreams broke their answers to this entry that it is probably the
    /// entry's own network: told to others, that would take sound upstreams from all.
    pub(super) fn is_own(&mut self, now: Moment) -> bool {
        while self.broken.front().is_some_and(|(at, _)| now >= *at + SPAN) {
            self.broken.pop_front();
        }
        let upstreams: BTreeSet<&UpstreamId> = self.broken.iter().map(|(_, id)| id).collect();
        upstreams.len() >= UPSTREAMS
    }
}
