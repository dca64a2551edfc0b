use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::balance;
use crate::breaker::Trial;
use crate::config::Standing;
use crate::directory;
use crate::id::ConfigNumber;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::reach::Peer;
use crate::reach::Upstreams;
use crate::rule;
use crate::rule::Rules;
use crate::rule::ServiceState;

/// Immutable snapshot of the control state, for the traffic threads.
#[derive(Clone, Debug)]
pub struct View {
    /// Services of which a control asks whether this entry reaches them.
    pub asked: Arc<BTreeSet<ServiceId>>,
    /// Entries that may be listed to callers.
    pub entries: Arc<Vec<directory::Entry>>,
    /// Whether `entries` will change little, so that callers may keep the list for long.
    pub is_settled: bool,
    /// Whether this entry is leaving and has been withdrawn from the callers' lists.
    pub is_leaving: bool,
    /// Number of the configuration in force.
    pub number: Option<ConfigNumber>,
    /// Entries that take requests that this one can't serve.
    pub peers: Arc<Vec<Peer>>,
    /// Rules in force.
    pub rules: Option<Arc<Rules>>,
    /// Upstreams by service.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Whether this process may serve callers.
    pub standing: Standing,
}

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

impl View {
    /// Upstreams of a service, as far as they tell whether it is reached.
    pub(super) fn upstreams(&self, service: &ServiceId) -> Option<Upstreams<'_>> {
        let service = self.services.get(service)?;
        Some(Upstreams { members: &service.members, health: service.as_ref() })
    }

    /// Whether callers are served: there are rules, and the standing allows it.
    pub(crate) fn serves(&self) -> bool {
        self.rules.is_some() && self.standing.serves()
    }

    /// Whether `services` equal those of this view, apart from their versions.
    pub(super) fn has_same_services(&self, services: &BTreeMap<ServiceId, Service>) -> bool {
        services.len() == self.services.len()
            && services.iter().zip(&self.services).all(|((name, service), (other, before))| {
                name == other && service.is_unchanged(before)
            })
    }

    /// Services of the next view. Unchanged ones are reused; each changed one gets the next
    /// `version`.
    pub(super) fn next_services(
        &self,
        services: BTreeMap<ServiceId, Service>,
        version: &mut u64,
    ) -> BTreeMap<ServiceId, Arc<Service>> {
        let mut published = BTreeMap::new();
        for (name, mut service) in services {
            let before = self.services.get(&name);
            let service = match before.filter(|before| service.is_unchanged(before)) {
                Some(before) => Arc::clone(before),
                None => {
                    *version += 1;
                    service.version = *version;
                    Arc::new(service)
                }
            };
            published.insert(name, service);
        }
        published
    }
}

impl Service {
    /// Derives the state of the service from its upstreams' weights.
    pub(super) fn update_state(&mut self, at_floor: bool) {
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

    fn is_unchanged(&self, before: &Self) -> bool {
        self.members == before.members
            && self.addresses == before.addresses
            && self.limits == before.limits
            && self.suspects == before.suspects
            && self.trials == before.trials
            && self.weights == before.weights
            && self.coverage == before.coverage
            && self.entries == before.entries
            && self.retry_part == before.retry_part
            && self.state == before.state
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            asked: Arc::default(),
            entries: Arc::default(),
            is_settled: true,
            is_leaving: false,
            number: None,
            peers: Arc::default(),
            rules: None,
            services: BTreeMap::new(),
            standing: Standing::Starting,
        }
    }
}

impl rule::StateSource for View {
    fn state(&self, service: &str) -> ServiceState {
        self.services.get(service).map_or(ServiceState::Down, |service| service.state)
    }
}

impl balance::Health for Service {
    fn is_suspect(&self, upstream: &str) -> bool {
        self.suspects.contains(upstream)
    }

    fn weight(&self, upstream: &str) -> f64 {
        self.weights.get(upstream).copied().unwrap_or(1.0)
    }
}
