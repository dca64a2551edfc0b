//! What entries report about requests and the upstreams that ended under them.

use serde::Deserialize;
use serde::Serialize;

use super::Identity;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Most requests that one entry reports with a crash. An upstream has few slots.
const MAX_SUSPECTS: usize = 32;
/// Most crashes and most answers in one report.
const MAX_CRASHES: usize = 64;
const MAX_ANSWERS: usize = 256;

/// What ended, as far as an entry could find out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// No upstream of this service could be reached: some have ended, or the path to all of them is lost. The
    /// reports of one such time count as one crash.
    Service(ServiceId),
    /// This upstream, while another one of its service could be reached or a new one had its address.
    Upstream(UpstreamId),
}

/// An upstream that ended while requests were in flight there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// What ended.
    pub scope: Scope,
    /// Requests of one entry that were in flight there and got no whole answer.
    pub suspects: Vec<Identity>,
}

/// What entries saw of requests that may end upstreams.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Suspected requests that an upstream answered.
    pub answered: Vec<Identity>,
    /// Upstreams that ended.
    pub crashes: Vec<Crash>,
}

impl Evidence {
    /// Evidence of one crash.
    pub fn of_crash(scope: Scope, mut suspects: Vec<Identity>) -> Self {
        suspects.sort_unstable();
        suspects.dedup();
        suspects.truncate(MAX_SUSPECTS);
        Self { crashes: vec![Crash { scope, suspects }], ..Self::default() }
    }

    /// Evidence of one whole answer.
    pub fn of_answer(identity: Identity) -> Self {
        Self { answered: vec![identity], ..Self::default() }
    }

    /// Adds other evidence, up to a limit: a request that goes on ending upstreams is reported again.
    pub fn add(&mut self, other: &Self) {
        for identity in &other.answered {
            if self.answered.len() < MAX_ANSWERS && !self.answered.contains(identity) {
                self.answered.push(*identity);
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
