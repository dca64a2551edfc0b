//! What callers received of many upstreams.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::breaker::Counts;
use crate::id::UpstreamId;

/// What callers received of many upstreams, in some span.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tallies {
    /// Requests that callers sent, whatever became of them. An entry that is overrun ends few
    /// of them: counted by their ends, load would seem to fall when it is too much.
    pub arrivals: u32,
    /// Bytes of the requests that callers sent and of the answers that they got, as far as
    /// their lengths were told beforehand.
    pub bytes: u64,
    /// By upstream.
    pub by_upstream: BTreeMap<UpstreamId, Counts>,
}

impl Tallies {
    /// Adds one upstream's.
    pub fn add(&mut self, upstream: &UpstreamId, counts: &Counts) {
        self.by_upstream.entry(upstream.clone()).or_default().add(counts);
    }

    /// Adds all of another span's.
    pub fn add_all(&mut self, other: &Self) {
        self.arrivals += other.arrivals;
        self.bytes += other.bytes;
        other.by_upstream.iter().for_each(|(upstream, counts)| self.add(upstream, counts));
    }

    /// Those of upstreams that others should know of at once.
    pub fn urgent(&self) -> Self {
        let urgent = self.by_upstream.iter().filter(|(_, counts)| counts.is_urgent());
        let by_upstream = urgent.map(|(id, counts)| (id.clone(), *counts)).collect();
        Self { by_upstream, ..Self::default() }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.arrivals == 0 && self.bytes == 0 && self.by_upstream.is_empty()
    }

    /// Whether others should know at once.
    pub fn is_urgent(&self) -> bool {
        self.by_upstream.values().any(Counts::is_urgent)
    }
}
