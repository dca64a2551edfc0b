use std::collections::BTreeMap;
use std::sync::Arc;

use crate::balance;
use crate::clock::Moment;
use crate::health;
use crate::id::ServiceId;
use crate::node::Controller;
use crate::node::View;
use crate::node::core::Core;
use crate::node::status;
use crate::node::view;
use crate::registry;

impl Core {
    /// What traffic threads are to know from now on; `None` where nothing has changed.
    pub fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        let services = self.services(now);
        if !self.dirty && last.has(&services) {
            return None;
        }
        self.dirty = false;
        Some(View {
            entries: Arc::new(self.entries()),
            leaving: self.leaving,
            number: self.replicator.current().map(|version| version.number),
            rules: self.rules.clone(),
            services: last.succeed(services, &mut self.version),
            standing: self.replicator.standing(),
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
                verdict: judge.map_or(health::Status::Sound, |judge| judge.status(&said.upstream)),
            });
        }
        services
    }

    /// What operators see of control.
    pub fn control(&self, now: Moment) -> Option<status::Control> {
        if self.controller.is_none() && self.stopped.is_none() {
            return None;
        }
        Some(status::Control {
            claims: self
                .controller
                .as_ref()
                .map_or(0, super::super::controller::Controller::remembered_claims),
            log: self.controller.as_ref().map(|controller| controller.status(now)),
            stopped: self.stopped.clone(),
        })
    }

    /// Ends control's part here, for `reason`.
    pub fn close_controller(&mut self, reason: String) {
        self.controller = None;
        self.stopped = Some(reason);
    }

    /// Takes control's part up again, from what the disk has kept.
    pub fn open_controller(&mut self, controller: Controller) {
        self.controller = Some(controller);
        self.stopped = None;
    }

    fn services(&self, now: Moment) -> BTreeMap<ServiceId, view::Service> {
        let entries = self.entries().len();
        let mut services: BTreeMap<ServiceId, view::Service> = BTreeMap::new();
        for found in self.registry.usable(now) {
            let said = &found.announcement;
            let service = services.entry(said.service.clone()).or_default();
            service.entries = entries;
            service.sharing = Some(entries);
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
            service.settle(self.judges.is_at_floor(name));
        }
        services
    }
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
