use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::balance;
use crate::clock::Moment;
use crate::health::Verdict;
use crate::id::ServiceId;
use crate::node::View;
use crate::node::core::Core;
use crate::node::status;
use crate::node::view;
use crate::registry;
use crate::rule::ServiceState;

impl Core {
    /// What traffic threads are to know from now on; `None` where nothing has changed.
    pub fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        let services = self.services(now);
        if !self.dirty && same(&services, &last.services) {
            return None;
        }
        self.dirty = false;
        Some(View {
            entries: Arc::new(self.entries()),
            leaving: self.leaving,
            number: self.holder.current().map(|version| version.number),
            rules: self.rules.clone(),
            services: self.publish(services, last),
            standing: self.holder.standing(),
        })
    }

    /// What operators see of the upstreams.
    pub fn upstreams(&self, now: Moment) -> BTreeMap<ServiceId, Vec<status::Upstream>> {
        let mut services: BTreeMap<ServiceId, Vec<status::Upstream>> = BTreeMap::new();
        for found in self.registry.view() {
            let said = &found.announcement;
            let judge = self.judges.get(&said.service);
            services.entry(said.service.clone()).or_default().push(status::Upstream {
                usable: self.registry.is_usable(now, found),
                upstream: said.upstream.clone(),
                verdict: judge.map_or(Verdict::Sound, |judge| judge.verdict(&said.upstream)),
            });
        }
        services
    }

    /// What operators see of control.
    pub fn control(&self, now: Moment) -> Option<status::Control> {
        if self.office.is_none() && self.stopped.is_none() {
            return None;
        }
        Some(status::Control {
            claims: self.office.as_ref().map_or(0, super::super::office::Office::claims_kept),
            log: self.office.as_ref().map(|office| office.status(now)),
            stopped: self.stopped.clone(),
        })
    }

    /// Ends control's part here, for `reason`.
    pub fn close_office(&mut self, reason: String) {
        self.office = None;
        self.stopped = Some(reason);
    }

    fn services(&self, now: Moment) -> BTreeMap<ServiceId, view::Service> {
        let entries = self.entries().len();
        let mut services: BTreeMap<ServiceId, view::Service> = BTreeMap::new();
        for found in self.registry.usable(now) {
            let said = &found.announcement;
            let service = services.entry(said.service.clone()).or_default();
            service.entries = entries;
            service.addresses.insert(said.upstream.clone(), said.address);
            service.members.push(member(now, found));
            if let Some(judge) = self.judges.get(&said.service) {
                let weight = judge.weight(&said.upstream);
                if weight < 1.0 {
                    service.weights.insert(said.upstream.clone(), weight);
                }
            }
        }
        for (name, service) in &mut services {
            service.state = state(service, self.at_floor.contains(name));
        }
        services
    }

    /// Counts up the version of each service that has changed.
    fn publish(
        &mut self,
        services: BTreeMap<ServiceId, view::Service>,
        last: &View,
    ) -> BTreeMap<ServiceId, Arc<view::Service>> {
        let mut published = BTreeMap::new();
        for (name, mut service) in services {
            let before = last.services.get(&name);
            let service = match before.filter(|before| is_same(&service, before)) {
                Some(before) => Arc::clone(before),
                None => {
                    self.version += 1;
                    service.version = self.version;
                    Arc::new(service)
                }
            };
            published.insert(name, service);
        }
        published
    }
}

fn same(
    services: &BTreeMap<ServiceId, view::Service>,
    last: &BTreeMap<ServiceId, Arc<view::Service>>,
) -> bool {
    services.len() == last.len()
        && services
            .iter()
            .zip(last)
            .all(|((name, service), (other, before))| name == other && is_same(service, before))
}

fn is_same(service: &view::Service, before: &view::Service) -> bool {
    service.members == before.members
        && service.addresses == before.addresses
        && service.weights == before.weights
        && service.entries == before.entries
        && service.state == before.state
}

fn member(now: Moment, found: &registry::Upstream) -> balance::Member {
    let said = &found.announcement;
    balance::Member {
        connections: said.connections,
        domain: said.domain.clone(),
        slots: said.slots,
        state: warmth(now, found),
        upstream: said.upstream.clone(),
    }
}

/// How far its cold start has come. The moments are those of the announcement, so that
/// they are the same each time and a view does not change for them.
fn warmth(now: Moment, found: &registry::Upstream) -> balance::State {
    let warm_up = found.announcement.warm_up;
    if found.age(now) >= warm_up {
        return balance::State::Ready;
    }
    let since = found.born_at();
    balance::State::Warm { since, until: since.saturating_add(warm_up) }
}

fn state(service: &view::Service, at_floor: bool) -> ServiceState {
    let usable = service.members.len();
    let weights: HashMap<_, _> =
        service.weights.iter().filter(|(_, weight)| **weight <= 0.0).collect();
    match weights.len() {
        _ if usable == 0 => ServiceState::Down,
        0 => ServiceState::Healthy,
        ejected if ejected == usable => ServiceState::Down,
        _ if at_floor => ServiceState::AtFloor,
        _ => ServiceState::Degraded,
    }
}
