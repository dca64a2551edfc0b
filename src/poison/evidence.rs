//! What entries report about requests and the upstreams that ended under them.

use serde::Deserialize;
use serde::Serialize;

use super::Fingerprint;
use crate::id::UpstreamId;

/// Most fingerprints that one entry reports with a crash. An upstream has few slots.
const MAX_SUSPECTS: usize = 32;
/// Most crashes and most answers in one report.
const MAX_CRASHES: usize = 64;
const MAX_ANSWERS: usize = 256;

/// An upstream that ended while requests were in flight there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Requests of one entry that were in flight there and got no byte of an answer.
    pub suspects: Vec<Fingerprint>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// What entries saw of requests that may end upstreams.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Suspected requests that an upstream answered.
    pub answered: Vec<Fingerprint>,
    /// Upstreams that ended.
    pub crashes: Vec<Crash>,
}

impl Evidence {
    /// Evidence of one crash.
    pub fn of_crash(upstream: UpstreamId, mut suspects: Vec<Fingerprint>) -> Self {
        suspects.sort_unstable();
        suspects.dedup();
        suspects.truncate(MAX_SUSPECTS);
        Self { crashes: vec![Crash { suspects, upstream }], ..Self::default() }
    }

    /// Evidence of one whole answer.
    pub fn of_answer(fingerprint: Fingerprint) -> Self {
        Self { answered: vec![fingerprint], ..Self::default() }
    }

    /// Adds other evidence, up to a limit: a request that goes on ending upstreams is reported again.
    pub fn add(&mut self, other: &Self) {
        for fingerprint in &other.answered {
            if self.answered.len() < MAX_ANSWERS && !self.answered.contains(fingerprint) {
                self.answered.push(*fingerprint);
            }
        }
        let room = MAX_CRASHES.saturating_sub(self.crashes.len());
        self.crashes.extend(other.crashes.iter().take(room).cloned());
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.answered.is_empty() && self.crashes.is_empty()
    }
}
