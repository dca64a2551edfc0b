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
use crate::rule;
use crate::rule::Rules;
use crate::rule::ServiceState;

/// What traffic threads know of control state, at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// Entries that callers may be told of.
    pub entries: Arc<Vec<directory::Entry>>,
    /// Whether this entry is leaving, and off the callers' lists.
    pub leaving: bool,
    /// Configuration in force.
    pub number: Option<ConfigNumber>,
    /// Rules in force.
    pub rules: Option<Arc<Rules>>,
    /// Upstreams by service.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// What this process may do with callers.
    pub standing: Standing,
}

/// The upstreams of one service, at one moment.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Addresses of its upstreams.
    pub addresses: HashMap<UpstreamId, SocketAddr>,
    /// Entries that share the upstreams.
    pub entries: usize,
    /// The upstreams as the balance sees them.
    pub members: Vec<balance::Member>,
    /// Entries that share the burst of further tries; `None` where this one has no part in it.
    pub sharing: Option<usize>,
    /// State that rules may ask for.
    pub state: ServiceState,
    /// Upstreams that get work only where no other has room.
    pub suspects: BTreeSet<UpstreamId>,
    /// Upstreams that single requests may try, though they get no other work.
    pub trials: Vec<Trial>,
    /// Counts changes of this service.
    pub version: u64,
    /// Share of its usual work that each upstream should get, where that isn't all.
    pub weights: HashMap<UpstreamId, f64>,
}

impl View {
    /// Whether there are rules that callers may be served by.
    pub(crate) fn serves(&self) -> bool {
        self.rules.is_some() && self.standing.serves()
    }

    /// Whether these are the services that it has.
    pub(super) fn has(&self, services: &BTreeMap<ServiceId, Service>) -> bool {
        services.len() == self.services.len()
            && services
                .iter()
                .zip(&self.services)
                .all(|((name, service), (other, before))| name == other && service.is_same(before))
    }

    /// The services of the view that comes next; counts up the version of each that changed.
    pub(super) fn succeed(
        &self,
        services: BTreeMap<ServiceId, Service>,
        version: &mut u64,
    ) -> BTreeMap<ServiceId, Arc<Service>> {
        let mut published = BTreeMap::new();
        for (name, mut service) in services {
            let before = self.services.get(&name);
            let service = match before.filter(|before| service.is_same(before)) {
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
    /// Works out the state that rules may ask for.
    pub(super) fn settle(&mut self, at_floor: bool) {
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

    fn is_same(&self, before: &Self) -> bool {
        self.members == before.members
            && self.addresses == before.addresses
            && self.suspects == before.suspects
            && self.trials == before.trials
            && self.weights == before.weights
            && self.entries == before.entries
            && self.sharing == before.sharing
            && self.state == before.state
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            entries: Arc::default(),
            leaving: false,
            number: None,
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
