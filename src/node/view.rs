use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::config::Standing;
use crate::directory;
use crate::id::ConfigNumber;
use crate::id::ServiceId;
use crate::poison;
use crate::reach::Peer;
use crate::reach::Upstreams;
use crate::routing::Service;
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
    /// Requests under which upstreams end.
    pub poison: Arc<poison::List>,
    /// Rules in force.
    pub rules: Option<Arc<Rules>>,
    /// Upstreams by service.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Whether this process may serve callers.
    pub standing: Standing,
}

impl View {
    /// Upstreams of a service, as far as they tell whether it is reached.
    pub(crate) fn upstreams(&self, service: &ServiceId) -> Option<Upstreams<'_>> {
        let service = self.services.get(service)?;
        Some(Upstreams { members: &service.members, health: service.as_ref() })
    }

    /// Whether callers are served: there are rules, and the standing allows it.
    pub(crate) fn serves(&self) -> bool {
        self.rules.is_some() && self.standing.serves()
    }

    /// Whether `services` equal those of this view, apart from their versions.
    pub(crate) fn has_same_services(&self, services: &BTreeMap<ServiceId, Service>) -> bool {
        services.len() == self.services.len()
            && services.iter().zip(&self.services).all(|((name, service), (other, before))| {
                name == other && service.is_unchanged(before)
            })
    }

    /// Services of the next view. Unchanged ones are reused; each changed one gets the next
    /// `version`.
    pub(crate) fn next_services(
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

impl Default for View {
    fn default() -> Self {
        Self {
            asked: Arc::default(),
            entries: Arc::default(),
            is_settled: true,
            is_leaving: false,
            number: None,
            peers: Arc::default(),
            poison: Arc::default(),
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
