//! Judges of all services, as one process holds them.

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
use crate::replay::Recorder;
use crate::replay::Tape;
use crate::rule::Rules;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;

/// Judges of all services.
#[derive(Debug)]
pub(super) struct Judges {
    at_floor: BTreeSet<ServiceId>,
    judged_at: Moment,
    judges: BTreeMap<ServiceId, Monitor>,
    me: NodeId,
    random: ChaCha8Rng,
    recorder: Recorder,
}

/// What the judges say.
#[derive(Debug)]
pub(super) enum Told {
    /// A verdict changed.
    Event(Event),
    /// For all who use the service.
    Share(ServiceId, health::Digest),
    /// For whoever gathers what is known of one upstream.
    Tell(ServiceId, health::Digest, UpstreamId),
}

impl Judges {
    pub(super) fn new(now: Moment, me: NodeId, recorder: Recorder, random: ChaCha8Rng) -> Self {
        let judges = BTreeMap::new();
        Self { at_floor: BTreeSet::new(), judged_at: now, judges, me, random, recorder }
    }

    pub(super) fn get(&self, service: &ServiceId) -> Option<&Monitor> {
        self.judges.get(service)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServiceId, &Monitor)> {
        self.judges.iter()
    }

    /// Whether ejections of the service have met its floor.
    pub(super) fn is_at_floor(&self, service: &ServiceId) -> bool {
        self.at_floor.contains(service)
    }

    /// When the judges want to be told the time.
    pub(super) fn wake(&self) -> Moment {
        self.judged_at + health::Config::TICK
    }

    pub(super) fn tell(
        &mut self,
        now: Moment,
        service: &ServiceId,
        input: health::Input,
    ) -> Vec<Told> {
        let Some(judge) = self.judges.get_mut(service) else { return Vec::new() };
        let tape = tape(&self.recorder, service);
        tape.input(now, || replay::Input::Judge(input.clone()));
        let done = judge.handle(now, input);
        self.told(service, done)
    }

    pub(super) fn tick(&mut self, now: Moment) -> Vec<Told> {
        if now < self.wake() {
            return Vec::new();
        }
        self.judged_at = now;
        let services: Vec<ServiceId> = self.judges.keys().cloned().collect();
        let tick = |service: &ServiceId| self.tell(now, service, health::Input::Tick);
        services.iter().flat_map(tick).collect()
    }

    /// Says of all services that an upstream is gone.
    pub(super) fn forget(&mut self, now: Moment, upstream: &UpstreamId) -> Vec<Told> {
        let services: Vec<ServiceId> = self.judges.keys().cloned().collect();
        let gone = || health::Input::Gone { upstream: upstream.clone() };
        let mut told = Vec::new();
        for service in services {
            told.extend(self.tell(now, &service, gone()));
        }
        told
    }

    /// Takes what the rules say of services; gives those whose upstreams have to be named
    /// to a new judge.
    pub(super) fn set_rules(&mut self, now: Moment, rules: &Rules) -> (Vec<ServiceId>, Vec<Told>) {
        self.judges.retain(|service, _| rules.service(service).is_some());
        let mut fresh = Vec::new();
        let mut told = Vec::new();
        for (name, service) in rules.services() {
            let setup = health::Config {
                floor_count: 1,
                floor_share: service.floor,
                sensitivity: service.sensitivity,
            };
            match self.judges.get_mut(name) {
                Some(judge) => {
                    let input = || replay::Input::Setup(setup.clone());
                    tape(&self.recorder, name).input(now, input);
                    let done = judge.set_config(now, setup);
                    told.extend(self.told(name, done));
                }
                None => {
                    self.add(now, name, setup);
                    fresh.push(name.clone());
                }
            }
        }
        (fresh, told)
    }

    fn add(&mut self, now: Moment, name: &ServiceId, setup: health::Config) {
        let seed = self.random.next_u64();
        let me = self.me.clone();
        let random = ChaCha8Rng::seed_from_u64(seed);
        let judge = Monitor::new(me.clone(), setup.clone(), random);
        let made = || replay::Machine::Judge { name: me, seed, setup };
        tape(&self.recorder, name).machine(now, made);
        self.judges.insert(name.clone(), judge);
    }

    fn told(&mut self, service: &ServiceId, done: Vec<health::Output>) -> Vec<Told> {
        let mut told = Vec::new();
        for output in done {
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
                    told.push(Told::Share(service.clone(), digest));
                    continue;
                }
                health::Output::Tell { digest, upstream } => {
                    told.push(Told::Tell(service.clone(), digest, upstream));
                    continue;
                }
                health::Output::Trial { upstream } => {
                    (Kind::Other("trial".into()), upstream, String::new())
                }
            };
            let event = Event::new(Stamp::default(), self.me.clone(), kind);
            let event = event.service(service.clone()).upstream(upstream);
            told.push(Told::Event(event.detail("why", why)));
        }
        told
    }
}

/// Where the judge of a service is recorded.
fn tape(recorder: &Recorder, service: &ServiceId) -> Tape {
    Tape::new(recorder, format_compact!("judge/{service}"))
}
