//! Results that callers received, counted by upstream.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::balance::Limit;
use crate::breaker::Counts;
use crate::id::UpstreamId;
use crate::poison::Evidence;

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
    /// Evidence of requests under which upstreams end.
    pub poison: Evidence,
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
        self.poison.add(&other.poison);
        other.by_upstream.iter().for_each(|(upstream, counts)| self.add(upstream, counts));
    }

    /// Returns only the limits, the evidence, and the upstreams whose counts other entries need at once.
    pub fn urgent(&self) -> Self {
        let urgent = self.by_upstream.iter().filter(|(_, counts)| counts.is_urgent());
        let by_upstream = urgent.map(|(id, counts)| (id.clone(), *counts)).collect();
        let (limits, poison) = (self.limits.clone(), self.poison.clone());
        Self { by_upstream, limits, poison, ..Self::default() }
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        let is_uncounted = self.arrivals == 0 && self.bytes == 0;
        let is_uncounted = is_uncounted && self.by_upstream.is_empty();
        is_uncounted && self.limits.is_empty() && self.poison.is_empty()
    }

    /// Whether other entries need any of this at once.
    pub fn is_urgent(&self) -> bool {
        let is_told = !self.limits.is_empty() || !self.poison.is_empty();
        is_told || self.by_upstream.values().any(Counts::is_urgent)
    }
}
