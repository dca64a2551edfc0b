//! Health monitors of all services.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use compact_str::format_compact;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health;
use crate::health::Monitor;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::replay;
use crate::replay::MachineRecorder;
use crate::replay::Recorder;
use crate::rule::Rules;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;

/// Runs one health monitor per service and records its inputs for replay.
#[derive(Debug)]
pub(super) struct Monitors {
    at_floor: BTreeSet<ServiceId>,
    ticked_at: Moment,
    monitors: BTreeMap<ServiceId, Monitor>,
    me: NodeId,
    random: ChaCha8Rng,
    recorder: Recorder,
}

/// Output of [`Monitors`].
#[derive(Debug)]
pub(super) enum Output {
    /// The state of an upstream changed.
    Event(Event),
    /// Evidence for all entries that use the service.
    Share(ServiceId, health::Digest),
    /// Weak evidence for the home of one upstream.
    Tell(ServiceId, health::Digest, UpstreamId),
}

impl Monitors {
    pub(super) fn new(now: Moment, me: NodeId, recorder: Recorder, random: ChaCha8Rng) -> Self {
        let monitors = BTreeMap::new();
        Self { at_floor: BTreeSet::new(), ticked_at: now, monitors, me, random, recorder }
    }

    pub(super) fn get(&self, service: &ServiceId) -> Option<&Monitor> {
        self.monitors.get(service)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Monitor)> {
        self.monitors.iter()
    }

    /// Whether the floor of the service has prevented an ejection.
    pub(super) fn is_at_floor(&self, service: &ServiceId) -> bool {
        self.at_floor.contains(service)
    }

    /// Time of the next tick.
    pub(super) fn next_at(&self) -> Moment {
        self.ticked_at + health::Config::TICK
    }

    pub(super) fn step(
        &mut self,
        now: Moment,
        service: &ServiceId,
        input: health::Input,
    ) -> Vec<Output> {
        let Some(monitor) = self.monitors.get_mut(service) else { return Vec::new() };
        let machine_recorder = machine_recorder(&self.recorder, service);
        machine_recorder.record_input(now, || replay::Input::Judge(input.clone()));
        let monitor_outputs = monitor.handle(now, input);
        self.convert(service, monitor_outputs)
    }

    pub(super) fn tick(&mut self, now: Moment) -> Vec<Output> {
        if now < self.next_at() {
            return Vec::new();
        }
        self.ticked_at = now;
        let services: Vec<ServiceId> = self.monitors.keys().cloned().collect();
        let tick = |service: &ServiceId| self.step(now, service, health::Input::Tick);
        services.iter().flat_map(tick).collect()
    }

    /// Removes an upstream from all services.
    pub(super) fn remove(&mut self, now: Moment, upstream: &UpstreamId) -> Vec<Output> {
        let services: Vec<ServiceId> = self.monitors.keys().cloned().collect();
        let input = || health::Input::Gone { upstream: upstream.clone() };
        let mut outputs = Vec::new();
        for service in services {
            outputs.extend(self.step(now, &service, input()));
        }
        outputs
    }

    /// Applies the services of the rules. Returns the services that got a new monitor, to
    /// which their upstreams must be added, and the outputs of the existing ones.
    pub(super) fn set_rules(
        &mut self,
        now: Moment,
        rules: &Rules,
    ) -> (Vec<ServiceId>, Vec<Output>) {
        self.monitors.retain(|service, _| rules.service(service).is_some());
        let mut added = Vec::new();
        let mut outputs = Vec::new();
        for (name, service) in rules.services() {
            let config = health::Config {
                floor_count: 1,
                floor_share: service.floor,
                sensitivity: service.sensitivity,
            };
            match self.monitors.get_mut(name) {
                Some(monitor) => {
                    let input = || replay::Input::Setup(config.clone());
                    machine_recorder(&self.recorder, name).record_input(now, input);
                    let monitor_outputs = monitor.set_config(now, config);
                    outputs.extend(self.convert(name, monitor_outputs));
                }
                None => {
                    self.add(now, name, config);
                    added.push(name.clone());
                }
            }
        }
        (added, outputs)
    }

    fn add(&mut self, now: Moment, name: &ServiceId, config: health::Config) {
        let seed = self.random.next_u64();
        let me = self.me.clone();
        let random = ChaCha8Rng::seed_from_u64(seed);
        let monitor = Monitor::new(me.clone(), config.clone(), random);
        let machine = || replay::Machine::Judge { name: me, seed, setup: config };
        machine_recorder(&self.recorder, name).record_machine(now, machine);
        self.monitors.insert(name.clone(), monitor);
    }

    fn convert(
        &mut self,
        service: &ServiceId,
        monitor_outputs: Vec<health::Output>,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        for output in monitor_outputs {
            let (kind, upstream, why) = match output {
                health::Output::Eject { reason, upstream } => {
                    (Kind::Ejected, upstream, format!("{reason:?}"))
                }
                health::Output::Kept { reason, upstream } => {
                    self.at_floor.insert(service.clone());
                    (Kind::Other("kept".into()), upstream, format!("{reason:?}"))
                }
                health::Output::Readmit { reason, upstream } => {
                    self.at_floor.remove(service);
                    (Kind::Readmitted, upstream, format!("{reason:?}"))
                }
                health::Output::Share(digest) => {
                    outputs.push(Output::Share(service.clone(), digest));
                    continue;
                }
                health::Output::Tell { digest, upstream } => {
                    outputs.push(Output::Tell(service.clone(), digest, upstream));
                    continue;
                }
                health::Output::Trial { upstream } => {
                    (Kind::Other("trial".into()), upstream, String::new())
                }
            };
            let event = Event::new(Stamp::default(), self.me.clone(), kind);
            let event = event.service(service.clone()).upstream(upstream);
            outputs.push(Output::Event(event.detail("why", why)));
        }
        outputs
    }
}

/// Recorder of the monitor of a service.
fn machine_recorder(recorder: &Recorder, service: &ServiceId) -> MachineRecorder {
    MachineRecorder::new(recorder, format_compact!("judge/{service}"))
}
