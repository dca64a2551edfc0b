//! Health of upstreams: outcomes, evidence of others, verdicts.

use std::time::Duration;

use crate::clock::Moment;
use crate::health;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::node::judges::Told;
use crate::registry;
use crate::wire::Frame;

/// Pause between two tellings of one service's evidence to the neighbours.
const SHARE_PERIOD: Duration = Duration::from_millis(500);

impl Core {
    pub(super) fn outcome(
        &mut self,
        now: Moment,
        service: ServiceId,
        upstream: UpstreamId,
        kind: health::Kind,
        latency: Duration,
        outputs: &mut Vec<Output>,
    ) {
        let input = health::Input::Outcome { kind, latency, upstream };
        self.tell_judge(now, &service, input, outputs);
    }

    pub(super) fn probed(
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
            self.tell_registry(now, input, outputs);
        }
        let input = health::Input::Report { healthy, upstream };
        self.tell_judge(now, &service, input, outputs);
    }

    pub(super) fn tell_judge(
        &mut self,
        now: Moment,
        service: &ServiceId,
        input: health::Input,
        outputs: &mut Vec<Output>,
    ) {
        let told = self.judges.tell(now, service, input);
        self.judged(now, told, outputs);
    }

    pub(super) fn tick_judges(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let told = self.judges.tick(now);
        self.judged(now, told, outputs);
    }

    /// Gives each service of the rules a judge, with what the rules say of it.
    pub(super) fn set_judges(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(rules) = self.rules.clone() else { return };
        let (fresh, told) = self.judges.set_rules(now, &rules);
        self.judged(now, told, outputs);
        for service in fresh {
            self.introduce(now, &service, outputs);
        }
    }

    pub(super) fn judged(&mut self, now: Moment, told: Vec<Told>, outputs: &mut Vec<Output>) {
        for told in told {
            match told {
                Told::Event(event) => {
                    self.dirty = true;
                    outputs.push(Output::Event(event));
                }
                Told::Share(service, digest) => self.share(now, &service, &digest, outputs),
                Told::Tell(service, digest, upstream) => {
                    self.tell_home(now, service, digest, &upstream, outputs);
                }
            }
        }
    }

    /// Little evidence goes to the upstream's home only, which adds up that of all.
    fn tell_home(
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

    fn share(
        &mut self,
        now: Moment,
        service: &ServiceId,
        digest: &health::Digest,
        outputs: &mut Vec<Output>,
    ) {
        let last = self.shared_at.get(service).copied();
        if last.is_some_and(|last| now < last + SHARE_PERIOD) {
            return;
        }
        self.shared_at.insert(service.clone(), now);
        for neighbour in self.neighbours() {
            let frame = Frame::Health { digest: digest.clone(), service: service.clone() };
            self.send(now, neighbour, frame, outputs);
        }
    }
}
