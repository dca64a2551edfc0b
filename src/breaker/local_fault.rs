//! Detects that broken answers are caused by the entry's own network.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::UpstreamId;

/// An entry that gets broken answers from this many upstreams within the window, while they serve
/// other entries, takes its own network for the cause. When upstreams are at fault, an entry is
/// the first to see it at one of them at most: of forty upstreams three become faulty in that
/// time, and a dozen entries share in finding them.
const UPSTREAMS_MIN: usize = 4;
const WINDOW: Duration = Duration::from_secs(3);

/// Upstreams that recently broke answers to this entry and to no other.
#[derive(Debug, Default)]
pub struct LocalFault {
    failures: VecDeque<(Moment, UpstreamId)>,
}

impl LocalFault {
    /// Records that an upstream that serves other entries broke an answer here, or is late with
    /// one. Failures that other entries saw too must not be recorded: where a third of the
    /// upstreams are faulty, every entry meets as many.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId) {
        self.failures.push_back((now, upstream.clone()));
    }

    /// Whether enough upstreams broke answers to this entry alone that its own network is the
    /// likely cause. Reports to other entries would then take sound upstreams from all of them.
    pub fn is_likely(&mut self, now: Moment) -> bool {
        while self.failures.front().is_some_and(|(at, _)| now >= *at + WINDOW) {
            self.failures.pop_front();
        }
        let upstreams: BTreeSet<&UpstreamId> = self.failures.iter().map(|(_, id)| id).collect();
        upstreams.len() >= UPSTREAMS_MIN
    }
}
