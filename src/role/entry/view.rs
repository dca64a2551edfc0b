//! What an entry's traffic threads and operators see of its state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::balance;
use crate::breaker::State;
use crate::clock::Moment;
use crate::health;
use crate::id::ServiceId;
use crate::node::View;
use crate::node::status;
use crate::registry;
use crate::routing;

use super::Entry;
use super::upstreams::Known;

/// Interval at which views follow what changes with time or with successful answers, such as the
/// weights of slow upstreams and warm-up. A view of 600 upstreams costs half a millisecond, and
/// under load something changes all the time.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);

impl Entry {
    pub(in crate::role) fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        if !self.is_dirty && now < self.viewed_at + VIEW_INTERVAL {
            return None;
        }
        self.viewed_at = now;
        let services = self.services(now);
        if !self.is_dirty && last.has_same_services(&services) {
            return None;
        }
        self.is_dirty = false;
        Some(View {
            asked: Arc::clone(&self.asked),
            entries: Arc::clone(&self.listing.entries),
            peers: Arc::clone(&self.listing.peers),
            is_settled: self.listing.is_settled,
            is_leaving: self.is_leaving,
            number: self.version.as_ref().map(|version| version.number),
            poison: Arc::clone(&self.poison),
            rules: self.rules.clone(),
            services: last.next_services(services, &mut self.service_version),
            standing: self.standing,
        })
    }

    pub(in crate::role) fn upstreams(
        &self,
        _: Moment,
    ) -> BTreeMap<ServiceId, Vec<status::Upstream>> {
        let mut services: BTreeMap<ServiceId, Vec<status::Upstream>> = BTreeMap::new();
        for Known { announcement, .. } in self.upstreams.values() {
            let group = self.breakers.get(&announcement.service);
            let verdict = match group.map(|group| group.state(&announcement.upstream)) {
                None | Some(State::Closed) => health::Status::Sound,
                Some(State::Open { .. }) => health::Status::Ejected,
                Some(State::HalfOpen { .. }) => health::Status::Trial,
            };
            services.entry(announcement.service.clone()).or_default().push(status::Upstream {
                usable: announcement.state == registry::State::Ready,
                upstream: announcement.upstream.clone(),
                verdict,
            });
        }
        services
    }

    fn services(&self, now: Moment) -> BTreeMap<ServiceId, routing::Service> {
        let mut services: BTreeMap<ServiceId, routing::Service> = BTreeMap::new();
        let retry_part = self.participants.part(now);
        let ready = |known: &&Known| {
            known.announcement.state == registry::State::Ready && !known.is_leaving
        };
        for known in self.upstreams.values().filter(ready) {
            let announcement = &known.announcement;
            let service = services.entry(announcement.service.clone()).or_default();
            service.entries = self.entries;
            service.retry_part = retry_part;
            service.addresses.insert(announcement.upstream.clone(), announcement.address);
            service.members.push(self.member(now, known));
            if let Some(limit) = self.limits.get(&self.id, &self.listing.entries, announcement) {
                service.limits.insert(announcement.upstream.clone(), limit);
            }
        }
        for (name, service) in &mut services {
            service.coverage = self.subscriber.selection().coverage(name);
            service.followers = self.followers(service);
            let Some(group) = self.breakers.get(name) else { continue };
            service.weights = group.weights().into_iter().collect();
            service.trials = group.trials();
            service.suspects = group.suspects();
            service.duties = group.duties(now);
            service.update_state(!service.suspects.is_empty());
        }
        services
    }

    /// Number of entries that follow the same upstream of a service.
    fn followers(&self, service: &routing::Service) -> usize {
        let is_near = |member: &&balance::Member| member.domain == self.domain;
        let near = service.members.iter().filter(is_near).count();
        let far = service.members.len() - near;
        service.coverage.followers(self.entries, near, far)
    }

    fn member(&self, now: Moment, known: &Known) -> balance::Member {
        let announcement = &known.announcement;
        let rules = self.rules.as_ref().and_then(|rules| rules.service(&announcement.service));
        let connections = rules.and_then(|service| service.connections);
        let until = known.since.saturating_add(announcement.warm_up);
        let warm = balance::State::Warm { since: known.since, until };
        balance::Member {
            connections: connections.map_or(announcement.connections, |count| count as u32),
            domain: announcement.domain.clone(),
            incarnation: announcement.incarnation,
            slots: announcement.slots,
            state: if now < until { warm } else { balance::State::Ready },
            upstream: announcement.upstream.clone(),
        }
    }
}
