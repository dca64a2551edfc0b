//! Results that callers received, counted by upstream.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::balance::Limit;
use crate::breaker::Counts;
use crate::id::UpstreamId;

/// Results that callers received in some period, counted by upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tallies {
    /// Requests that callers sent, whatever their outcome. An overloaded entry completes few of
    /// them, so a count of completed requests would fall just when the load is too high.
    pub arrivals: u32,
    /// Bytes of the requests and answers whose lengths were declared in advance.
    pub bytes: u64,
    /// Counts by upstream.
    pub by_upstream: BTreeMap<UpstreamId, Counts>,
    /// Limits that upstreams named last; `None` for one that is lifted.
    pub limits: BTreeMap<UpstreamId, Option<Limit>>,
}

impl Tallies {
    /// Adds counts of one upstream.
    pub fn add(&mut self, upstream: &UpstreamId, counts: &Counts) {
        self.by_upstream.entry(upstream.clone()).or_default().add(counts);
    }

    /// Adds all counts of another period.
    pub fn add_all(&mut self, other: &Self) {
        self.arrivals += other.arrivals;
        self.bytes += other.bytes;
        self.limits.extend(other.limits.iter().map(|(id, limit)| (id.clone(), *limit)));
        other.by_upstream.iter().for_each(|(upstream, counts)| self.add(upstream, counts));
    }

    /// Returns only the limits, and the upstreams whose counts other entries need at once.
    pub fn urgent(&self) -> Self {
        let urgent = self.by_upstream.iter().filter(|(_, counts)| counts.is_urgent());
        let by_upstream = urgent.map(|(id, counts)| (id.clone(), *counts)).collect();
        Self { by_upstream, limits: self.limits.clone(), ..Self::default() }
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        let is_uncounted = self.arrivals == 0 && self.bytes == 0;
        is_uncounted && self.by_upstream.is_empty() && self.limits.is_empty()
    }

    /// Whether other entries need any of this at once.
    pub fn is_urgent(&self) -> bool {
        !self.limits.is_empty() || self.by_upstream.values().any(Counts::is_urgent)
    }
}
