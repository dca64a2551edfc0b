//! Whether broken answers are the entry's own fault.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::UpstreamId;

/// An entry to which so many upstreams broke answers within the span, while they answered all
/// others, takes itself for the cause. It meets one such at most where it is the first to see
/// an upstream's fault: of forty upstreams three come to be at fault in that time, and a dozen
/// entries share in finding them.
const UPSTREAMS: usize = 4;
const SPAN: Duration = Duration::from_secs(3);

/// The upstreams that lately broke answers to this entry and to no other.
#[derive(Debug, Default)]
pub struct LocalFault {
    broken: VecDeque<(Moment, UpstreamId)>,
}

impl LocalFault {
    /// Notes that an upstream that answers all others broke an answer here, or is late with
    /// it. What other entries saw too is not told: where a third of the upstreams are at
    /// fault, every entry meets as many.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId) {
        self.broken.push_back((now, upstream.clone()));
    }

    /// Whether so many upstreams broke their answers to this entry alone that it is probably
    /// its own network: told to others, that would take sound upstreams from all.
    pub fn is_likely(&mut self, now: Moment) -> bool {
        while self.broken.front().is_some_and(|(at, _)| now >= *at + SPAN) {
            self.broken.pop_front();
        }
        let upstreams: BTreeSet<&UpstreamId> = self.broken.iter().map(|(_, id)| id).collect();
        upstreams.len() >= UPSTREAMS
    }
}
