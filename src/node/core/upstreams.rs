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
    pub(super) fn announce(
        &mut self,
        now: Moment,
        ticket: u64,
        announcement: Announcement,
        outputs: &mut Vec<Output>,
    ) {
        self.announcing = Some(ticket);
        self.tell_registry(now, registry::Input::Announce(announcement), outputs);
        if let Some(ticket) = self.announcing.take() {
            let text = "the announcement was not taken; send it again".to_owned();
            outputs.push(Output::Announced(ticket, Err(text)));
        }
    }

    pub(super) fn tell_registry(
        &mut self,
        now: Moment,
        input: registry::Input,
        outputs: &mut Vec<Output>,
    ) {
        for output in self.registry.handle(now, input) {
            match output {
                registry::Output::Accepted { .. } => {
                    let ticket = self.announcing.take();
                    outputs.extend(ticket.map(|ticket| Output::Announced(ticket, Ok(()))));
                }
                registry::Output::Changed { incarnation, state, upstream } => {
                    self.upstream_changed(now, &upstream, outputs);
                    let kind = match state {
                        State::Ready => Kind::UpstreamAnnounced,
                        State::Draining => Kind::UpstreamDraining,
                        State::Gone => Kind::UpstreamExpired,
                    };
                    let event = self.event(kind).upstream(upstream).incarnation(incarnation);
                    outputs.push(Output::Event(event));
                }
                registry::Output::Moved(upstream) => {
                    let event = self.event(Kind::UpstreamMoved).upstream(upstream);
                    outputs.push(Output::Event(event));
                }
                registry::Output::Probe { address, upstream } => {
                    let Some((service, path)) = self.probe_of(&upstream) else { continue };
                    outputs.push(Output::Probe { address, path, service, upstream });
                }
                registry::Output::Refused { refusal, .. } => {
                    let ticket = self.announcing.take();
                    let told = Err(refusal.to_string());
                    outputs.extend(ticket.map(|ticket| Output::Announced(ticket, told)));
                }
                registry::Output::Send { to, message } => {
                    self.send(now, to, Frame::Registry(message), outputs);
                }
            }
        }
    }

    /// Tells the registry who there is.
    pub(super) fn tell_entries(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let entries = registry::Entry::all(&self.member);
        self.tell_registry(now, registry::Input::Entries(entries), outputs);
    }

    pub(super) fn tick_registry(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let in_touch = self.member.in_touch(now);
        self.tell_registry(now, registry::Input::Tick { in_touch }, outputs);
    }

    /// Asks the upstreams that this process is home of for their own report.
    pub(super) fn probe_own(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let own: Vec<UpstreamId> = self
            .registry
            .view()
            .filter(|found| found.home.as_ref() == Some(&self.me.id))
            .map(|found| found.announcement.upstream.clone())
            .collect();
        let wanted: BTreeSet<&UpstreamId> = own.iter().collect();
        self.probed_at.retain(|upstream, _| wanted.contains(upstream));
        for upstream in own {
            let Some((service, path)) = self.probe_of(&upstream) else { continue };
            let Some(found) = self.registry.get(&upstream) else { continue };
            let interval = self.interval_of(&service);
            let last = self.probed_at.get(&upstream).copied();
            if last.is_some_and(|last| now < last + interval) {
                continue;
            }
            let address = found.announcement.address;
            self.probed_at.insert(upstream.clone(), now);
            outputs.push(Output::Probe { address, path, service, upstream });
        }
    }

    fn probe_of(&self, upstream: &UpstreamId) -> Option<(ServiceId, compact_str::CompactString)> {
        let service = self.registry.get(upstream)?.announcement.service.clone();
        let rules = self.rules.as_ref()?;
        let path = rules.service(&service)?.probe.path.clone();
        Some((service, path))
    }

    fn interval_of(&self, service: &ServiceId) -> std::time::Duration {
        let found = self.rules.as_ref().and_then(|rules| rules.service(service));
        found.map_or(rule::Probe::default().interval, |service| service.probe.interval)
    }

    /// Tells the judge of an upstream's service that it is there, or that it is gone.
    fn upstream_changed(&mut self, now: Moment, upstream: &UpstreamId, outputs: &mut Vec<Output>) {
        self.dirty = true;
        let ready = self.registry.get(upstream).filter(|found| found.is_ready()).map(|found| {
            let said = &found.announcement;
            (said.service.clone(), said.domain.clone(), said.slots)
        });
        match ready {
            Some((service, domain, slots)) => {
                let upstream = upstream.clone();
                let input = health::Input::Member { domain, slots, upstream };
                self.tell_judge(now, &service, input, outputs);
            }
            None => self.forget(now, upstream, outputs),
        }
    }

    fn forget(&mut self, now: Moment, upstream: &UpstreamId, outputs: &mut Vec<Output>) {
        let told = self.judges.forget(now, upstream);
        self.judged(now, told, outputs);
    }

    /// Tells a new judge of the upstreams that are there already.
    pub(super) fn introduce(
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
            self.upstream_changed(now, &upstream, outputs);
        }
    }
}
