//! Health of upstreams: request outcomes, probes and evidence exchanged with other entries.

use std::time::Duration;

use crate::clock::Moment;
use crate::health;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::node::monitors;
use crate::registry;
use crate::wire::Frame;

/// Minimum time between two digests of one service to the neighbours.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

impl Core {
    pub(super) fn handle_outcome(
        &mut self,
        now: Moment,
        service: ServiceId,
        upstream: UpstreamId,
        kind: health::Kind,
        latency: Duration,
        outputs: &mut Vec<Output>,
    ) {
        let input = health::Input::Outcome { kind, latency, upstream };
        self.step_monitor(now, &service, input, outputs);
    }

    pub(super) fn handle_probe(
        &mut self,
        now: Moment,
        service: ServiceId,
        upstream: UpstreamId,
        draining: Option<bool>,
        healthy: bool,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(draining) = draining {
            let incarnation = None;
            let input =
                registry::Input::Answered { draining, incarnation, upstream: upstream.clone() };
            self.step_registry(now, input, outputs);
        }
        let input = health::Input::Report { healthy, upstream };
        self.step_monitor(now, &service, input, outputs);
    }

    pub(super) fn step_monitor(
        &mut self,
        now: Moment,
        service: &ServiceId,
        input: health::Input,
        outputs: &mut Vec<Output>,
    ) {
        let monitor_outputs = self.monitors.step(now, service, input);
        self.handle_monitor_outputs(now, monitor_outputs, outputs);
    }

    pub(super) fn tick_monitors(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let monitor_outputs = self.monitors.tick(now);
        self.handle_monitor_outputs(now, monitor_outputs, outputs);
    }

    /// Updates the health monitors to the services of the rules.
    pub(super) fn update_monitors(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(rules) = self.rules.clone() else { return };
        let (fresh, monitor_outputs) = self.monitors.set_rules(now, &rules);
        self.handle_monitor_outputs(now, monitor_outputs, outputs);
        for service in fresh {
            self.add_known_upstreams(now, &service, outputs);
        }
    }

    pub(super) fn handle_monitor_outputs(
        &mut self,
        now: Moment,
        monitor_outputs: Vec<monitors::Output>,
        outputs: &mut Vec<Output>,
    ) {
        for output in monitor_outputs {
            match output {
                monitors::Output::Event(event) => {
                    self.is_view_stale = true;
                    outputs.push(Output::Event(event));
                }
                monitors::Output::Share(service, digest) => {
                    self.share_digest(now, &service, &digest, outputs);
                }
                monitors::Output::Tell(service, digest, upstream) => {
                    self.send_to_home(now, service, digest, &upstream, outputs);
                }
            }
        }
    }

    /// Sends weak evidence to the upstream's home, which adds up that of all entries.
    fn send_to_home(
        &mut self,
        now: Moment,
        service: ServiceId,
        digest: health::Digest,
        upstream: &UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        let home = self.registry.get(upstream).and_then(|found| found.home.clone());
        if let Some(home) = home.filter(|home| *home != self.me.id) {
            self.send(now, home, Frame::Health { digest, service }, outputs);
        }
    }

    fn share_digest(
        &mut self,
        now: Moment,
        service: &ServiceId,
        digest: &health::Digest,
        outputs: &mut Vec<Output>,
    ) {
        let last = self.digest_sent_at.get(service).copied();
        if last.is_some_and(|last| now < last + SHARE_INTERVAL) {
            return;
        }
        self.digest_sent_at.insert(service.clone(), now);
        for neighbour in self.neighbours() {
            let frame = Frame::Health { digest: digest.clone(), service: service.clone() };
            self.send(now, neighbour, frame, outputs);
        }
    }
}
