//! Number of upstreams by service and failure domain.

use std::collections::BTreeMap;

use crate::id::DomainId;
use crate::id::ServiceId;

/// Number of upstreams by service and failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sizes(BTreeMap<ServiceId, BTreeMap<DomainId, usize>>);

impl Sizes {
    /// Adds an upstream.
    pub fn add(&mut self, service: &ServiceId, domain: &DomainId) {
        *self.0.entry(service.clone()).or_default().entry(domain.clone()).or_default() += 1;
    }

    /// Removes an upstream that was added.
    pub fn remove(&mut self, service: &ServiceId, domain: &DomainId) {
        let Some(domains) = self.0.get_mut(service) else { return };
        if let Some(size) = domains.get_mut(domain) {
            *size -= 1;
            if *size == 0 {
                domains.remove(domain);
            }
        }
        if domains.is_empty() {
            self.0.remove(service);
        }
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.0.keys()
    }

    /// Upstreams of a service in a failure domain, and in all others.
    pub fn near_and_far(&self, service: &ServiceId, domain: &DomainId) -> (usize, usize) {
        let Some(domains) = self.0.get(service) else { return (0, 0) };
        let near = domains.get(domain).copied().unwrap_or_default();
        (near, domains.values().sum::<usize>() - near)
    }
}
