//! The upstreams of one service, as an entry's traffic threads see them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::balance;
use crate::breaker::Trial;
use crate::id::UpstreamId;
use crate::rule::ServiceState;

/// Limit that an upstream named for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The limit.
    pub named: balance::Limit,
    /// Requests per second that this entry may send.
    pub rate: f64,
}

/// Snapshot of the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Upstreams that stand behind those of this snapshot.
    pub coverage: balance::Coverage,
    /// Addresses of its upstreams.
    pub addresses: HashMap<UpstreamId, SocketAddr>,
    /// Upstreams to which this entry has to send requests in time.
    pub duties: BTreeMap<UpstreamId, balance::Duty>,
    /// Number of entries that share the upstreams.
    pub entries: usize,
    /// Number of entries that follow the same upstream.
    pub followers: usize,
    /// Limits that upstreams named.
    pub limits: HashMap<UpstreamId, Limit>,
    /// Upstreams as candidates of the load balancer.
    pub members: Vec<balance::Member>,
    /// This entry's part of the burst of retries.
    pub retry_part: f64,
    /// State of the service, which rules may match on.
    pub state: ServiceState,
    /// Upstreams that get requests only if no other has a free slot.
    pub suspects: BTreeSet<UpstreamId>,
    /// Upstreams that get no requests except for single trials.
    pub trials: Vec<Trial>,
    /// Version of this snapshot; changes whenever the service does.
    pub version: u64,
    /// Share of its usual load for each upstream with less than its full share.
    pub weights: HashMap<UpstreamId, f64>,
}

impl Service {
    /// Derives the state of the service from its upstreams' weights.
    pub(crate) fn update_state(&mut self, at_floor: bool) {
        let usable = self.members.len();
        let ejected = self.weights.values().filter(|weight| **weight <= 0.0).count();
        self.state = match ejected {
            _ if usable == 0 => ServiceState::Down,
            0 => ServiceState::Healthy,
            ejected if ejected == usable => ServiceState::Down,
            _ if at_floor => ServiceState::AtFloor,
            _ => ServiceState::Degraded,
        };
    }

    /// Whether a snapshot equals another one, apart from their versions.
    pub(crate) fn is_unchanged(&self, before: &Self) -> bool {
        self.members == before.members
            && self.addresses == before.addresses
            && self.limits == before.limits
            && self.suspects == before.suspects
            && self.duties == before.duties
            && self.trials == before.trials
            && self.weights == before.weights
            && self.coverage == before.coverage
            && self.entries == before.entries
            && self.retry_part == before.retry_part
            && self.state == before.state
    }
}

impl balance::Health for Service {
    fn duty(&self, upstream: &str) -> Option<balance::Duty> {
        self.duties.get(upstream).copied()
    }

    fn is_suspect(&self, upstream: &str) -> bool {
        self.suspects.contains(upstream)
    }

    fn weight(&self, upstream: &str) -> f64 {
        self.weights.get(upstream).copied().unwrap_or(1.0)
    }
}
