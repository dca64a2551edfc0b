use std::collections::BTreeMap;
use std::sync::Arc;

use crate::balance;
use crate::clock::Moment;
use crate::controller::Controller;
use crate::health;
use crate::id::ServiceId;
use crate::node::View;
use crate::node::core::Core;
use crate::node::status;
use crate::registry;
use crate::routing;

impl Core {
    /// New view for the traffic threads; `None` if nothing has changed since `last`.
    pub fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        let services = self.build_services(now);
        if !self.is_view_stale && last.has_same_services(&services) {
            return None;
        }
        self.is_view_stale = false;
        Some(View {
            poison: Arc::default(),
            asked: Arc::default(),
            peers: Arc::default(),
            is_settled: true,
            entries: Arc::new(self.directory_entries()),
            is_leaving: self.is_leaving,
            number: self.replicator.current().map(|version| version.number),
            rules: self.rules.clone(),
            services: last.next_services(services, &mut self.view_version),
            standing: self.replicator.standing(),
        })
    }

    /// Status of the upstreams, for operators.
    pub fn upstream_statuses(&self, now: Moment) -> BTreeMap<ServiceId, Vec<status::Upstream>> {
        let mut services: BTreeMap<ServiceId, Vec<status::Upstream>> = BTreeMap::new();
        for found in self.registry.view() {
            let announcement = &found.announcement;
            let monitor = self.monitors.get(&announcement.service);
            services.entry(announcement.service.clone()).or_default().push(status::Upstream {
                usable: self.registry.is_usable(now, found),
                upstream: announcement.upstream.clone(),
                verdict: monitor.map_or(health::Status::Sound, |monitor| {
                    monitor.status(&announcement.upstream)
                }),
            });
        }
        services
    }

    /// Status of the replicated log, for operators; `None` on a process without one.
    pub fn control_status(&self, now: Moment) -> Option<status::Control> {
        if self.controller.is_none() && self.stop_reason.is_none() {
            return None;
        }
        Some(status::Control {
            claims: self.controller.as_ref().map_or(0, Controller::remembered_claims),
            log: self.controller.as_ref().map(|controller| controller.status(now)),
            stopped: self.stop_reason.clone(),
        })
    }

    /// Stops the replicated log on this control, for `reason`.
    pub fn close_controller(&mut self, reason: String) {
        self.controller = None;
        self.stop_reason = Some(reason);
    }

    /// Resumes the replicated log from the state recovered from disk.
    pub fn open_controller(&mut self, controller: Controller) {
        self.controller = Some(controller);
        self.stop_reason = None;
    }

    fn build_services(&self, now: Moment) -> BTreeMap<ServiceId, routing::Service> {
        let entries = self.directory_entries().len();
        let mut services: BTreeMap<ServiceId, routing::Service> = BTreeMap::new();
        for found in self.registry.usable(now) {
            let announcement = &found.announcement;
            let service = services.entry(announcement.service.clone()).or_default();
            service.entries = entries;
            service.followers = entries;
            service.retry_part = 1.0 / entries.max(1) as f64;
            service.addresses.insert(announcement.upstream.clone(), announcement.address);
            service.members.push(member(now, found));
            if let Some(monitor) = self.monitors.get(&announcement.service) {
                let weight = monitor.weight(&announcement.upstream);
                if weight < 1.0 {
                    service.weights.insert(announcement.upstream.clone(), weight);
                }
            }
        }
        for (name, service) in &mut services {
            service.update_state(self.monitors.is_at_floor(name));
        }
        services
    }
}

fn member(now: Moment, found: &registry::Upstream) -> balance::Member {
    let announcement = &found.announcement;
    balance::Member {
        connections: announcement.connections,
        domain: announcement.domain.clone(),
        incarnation: announcement.incarnation,
        slots: announcement.slots,
        state: warm_up_state(now, found),
        upstream: announcement.upstream.clone(),
    }
}

/// Progress of an upstream's warm-up. Its start and end are taken from the announcement
/// and not from `now`, so that they don't make the view change.
fn warm_up_state(now: Moment, found: &registry::Upstream) -> balance::State {
    let warm_up = found.announcement.warm_up;
    if found.age(now) >= warm_up {
        return balance::State::Ready;
    }
    let since = found.born_at();
    balance::State::Warm { since, until: since.saturating_add(warm_up) }
}
