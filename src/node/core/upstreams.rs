//! Steps the registry of upstreams, probes upstreams and tells the health monitors of changes.

use std::collections::BTreeSet;

use crate::clock::Moment;
use crate::health;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::registry;
use crate::registry::Announcement;
use crate::registry::State;
use crate::rule;
use crate::timeline::Kind;
use crate::wire::Frame;

impl Core {
    pub(super) fn handle_announcement(
        &mut self,
        now: Moment,
        ticket: u64,
        announcement: Announcement,
        outputs: &mut Vec<Output>,
    ) {
        self.pending_announcement = Some(ticket);
        self.step_registry(now, registry::Input::Announce(announcement), outputs);
        if let Some(ticket) = self.pending_announcement.take() {
            let text = "the announcement was not taken; send it again".to_owned();
            outputs.push(Output::Announced(ticket, Err(text)));
        }
    }

    pub(super) fn step_registry(
        &mut self,
        now: Moment,
        input: registry::Input,
        outputs: &mut Vec<Output>,
    ) {
        for output in self.registry.handle(now, input) {
            match output {
                registry::Output::Accepted { .. } => {
                    let ticket = self.pending_announcement.take();
                    outputs.extend(ticket.map(|ticket| Output::Announced(ticket, Ok(()))));
                }
                registry::Output::Changed { incarnation, state, upstream } => {
                    self.update_monitored_upstream(now, &upstream, outputs);
                    let kind = match state {
                        State::Ready => Kind::UpstreamAnnounced,
                        State::Draining => Kind::UpstreamDraining,
                        State::Gone => Kind::UpstreamExpired,
                    };
                    let event = self.new_event(kind).upstream(upstream).incarnation(incarnation);
                    outputs.push(Output::Event(event));
                }
                registry::Output::Moved(upstream) => {
                    let event = self.new_event(Kind::UpstreamMoved).upstream(upstream);
                    outputs.push(Output::Event(event));
                }
                registry::Output::Probe { address, upstream } => {
                    let Some((service, path)) = self.probe_target(&upstream) else { continue };
                    outputs.push(Output::Probe { address, path, service, upstream });
                }
                registry::Output::Refused { refusal, .. } => {
                    let ticket = self.pending_announcement.take();
                    let result = Err(refusal.to_string());
                    outputs.extend(ticket.map(|ticket| Output::Announced(ticket, result)));
                }
                registry::Output::Send { to, message } => {
                    self.send(now, to, Frame::Registry(message), outputs);
                }
            }
        }
    }

    /// Passes the live members of the fleet, entries or not, to the registry.
    pub(super) fn update_registry_members(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let entries = registry::Entry::all(&self.member);
        self.step_registry(now, registry::Input::Entries(entries), outputs);
    }

    pub(super) fn tick_registry(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let in_touch = self.member.in_touch(now);
        self.step_registry(now, registry::Input::Tick { in_touch }, outputs);
    }

    /// Probes each upstream whose home is this process, if its service has rules and its probe
    /// interval has passed.
    pub(super) fn probe_homed_upstreams(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let own: Vec<UpstreamId> = self
            .registry
            .view()
            .filter(|found| found.home.as_ref() == Some(&self.me.id))
            .map(|found| found.announcement.upstream.clone())
            .collect();
        let current: BTreeSet<&UpstreamId> = own.iter().collect();
        self.probed_at.retain(|upstream, _| current.contains(upstream));
        for upstream in own {
            let Some((service, path)) = self.probe_target(&upstream) else { continue };
            let Some(found) = self.registry.get(&upstream) else { continue };
            let interval = self.probe_interval(&service);
            let last = self.probed_at.get(&upstream).copied();
            if last.is_some_and(|last| now < last + interval) {
                continue;
            }
            let address = found.announcement.address;
            self.probed_at.insert(upstream.clone(), now);
            outputs.push(Output::Probe { address, path, service, upstream });
        }
    }

    fn probe_target(
        &self,
        upstream: &UpstreamId,
    ) -> Option<(ServiceId, compact_str::CompactString)> {
        let service = self.registry.get(upstream)?.announcement.service.clone();
        let rules = self.rules.as_ref()?;
        let path = rules.service(&service)?.probe.path.clone();
        Some((service, path))
    }

    fn probe_interval(&self, service: &ServiceId) -> std::time::Duration {
        let service = self.rules.as_ref().and_then(|rules| rules.service(service));
        service.map_or(rule::Probe::default().interval, |service| service.probe.interval)
    }

    /// Adds the upstream to its service's health monitor if it is ready; otherwise removes it from
    /// all monitors.
    fn update_monitored_upstream(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.is_view_stale = true;
        let ready = self.registry.get(upstream).filter(|found| found.is_ready()).map(|found| {
            let announcement = &found.announcement;
            (announcement.service.clone(), announcement.domain.clone(), announcement.slots)
        });
        match ready {
            Some((service, domain, slots)) => {
                let upstream = upstream.clone();
                let input = health::Input::Member { domain, slots, upstream };
                self.step_monitor(now, &service, input, outputs);
            }
            None => self.remove_monitored_upstream(now, upstream, outputs),
        }
    }

    fn remove_monitored_upstream(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        let monitor_outputs = self.monitors.remove(now, upstream);
        self.handle_monitor_outputs(now, monitor_outputs, outputs);
    }

    /// Adds a service's listed upstreams that are ready to its new health monitor.
    pub(super) fn add_known_upstreams(
        &mut self,
        now: Moment,
        service: &ServiceId,
        outputs: &mut Vec<Output>,
    ) {
        let known: Vec<UpstreamId> = self
            .registry
            .view()
            .filter(|found| found.announcement.service == *service)
            .map(|found| found.announcement.upstream.clone())
            .collect();
        for upstream in known {
            self.update_monitored_upstream(now, &upstream, outputs);
        }
    }
}
