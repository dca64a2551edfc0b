use std::time::Duration;

use compact_str::format_compact;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health;
use crate::health::Judge;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::core::Core;
use crate::node::core::Output;
use crate::registry;
use crate::replay;
use crate::replay::Recorder;
use crate::replay::Tape;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::wire::Frame;

/// Shortest time between two tellings of evidence on the upstreams of one service.
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
        let Some(judge) = self.judges.get_mut(service) else { return };
        tape(&self.recorder, service).input(now, || replay::Input::Judge(input.clone()));
        let done = judge.handle(now, input);
        self.judged(now, service, done, outputs);
    }

    pub(super) fn tick_judges(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.judged_at + health::Setup::TICK {
            return;
        }
        self.judged_at = now;
        let services: Vec<ServiceId> = self.judges.keys().cloned().collect();
        for service in services {
            self.tell_judge(now, &service, health::Input::Tick, outputs);
        }
    }

    /// Makes a judge for each service in force, and takes over what operators changed.
    pub(super) fn set_judges(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some(rules) = self.rules.clone() else { return };
        self.judges.retain(|service, _| rules.service(service).is_some());
        for (name, service) in rules.services() {
            let setup = health::Setup {
                floor_count: 1,
                floor_share: service.floor,
                sensitivity: service.sensitivity,
            };
            match self.judges.get_mut(name) {
                Some(judge) => {
                    let input = || replay::Input::Setup(setup.clone());
                    tape(&self.recorder, name).input(now, input);
                    let done = judge.set_setup(now, setup);
                    self.judged(now, name, done, outputs);
                }
                None => {
                    let seed = self.random.next_u64();
                    let me = self.me.id.clone();
                    let random = ChaCha8Rng::seed_from_u64(seed);
                    let judge = Judge::new(me.clone(), setup.clone(), random);
                    let made = || replay::Machine::Judge { name: me, seed, setup };
                    tape(&self.recorder, name).machine(now, made);
                    self.judges.insert(name.clone(), judge);
                    self.introduce(now, name, outputs);
                }
            }
        }
    }

    pub(super) fn judged(
        &mut self,
        now: Moment,
        service: &ServiceId,
        done: Vec<health::Output>,
        outputs: &mut Vec<Output>,
    ) {
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
                    self.share(now, service, &digest, outputs);
                    continue;
                }
                health::Output::Tell { digest, upstream } => {
                    self.tell_home(now, service, digest, &upstream, outputs);
                    continue;
                }
                health::Output::Trial { upstream } => {
                    (Kind::Other("trial".into()), upstream, String::new())
                }
            };
            self.dirty = true;
            let event: Event = self.event(kind).service(service.clone()).upstream(upstream);
            outputs.push(Output::Event(event.detail("why", why)));
        }
    }

    /// Tells an upstream's home entry of a single failure there; those of all entries meet.
    fn tell_home(
        &mut self,
        now: Moment,
        service: &ServiceId,
        digest: health::Digest,
        upstream: &UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        let home = self.registry.get(upstream).and_then(|found| found.home.clone());
        if let Some(home) = home.filter(|home| *home != self.me.id) {
            self.send(now, home, Frame::Health { digest, service: service.clone() }, outputs);
        }
    }

    /// Sends evidence to the processes that this one holds links to anyway: eight or
    /// so, at 520 entries as at 44, each of whom sees the upstream as often as this one.
    ///
    /// A judge repeats its sums at each tick for as long as an upstream is in question,
    /// which at one sound error in a thousand is often. Ten times a second to all would
    /// be 86 KB a second of each entry; twice a second to eight is 3 KB, and adds half a
    /// second at most, since the newest sums hold what the skipped ones said.
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

fn tape(recorder: &Recorder, service: &ServiceId) -> Tape {
    Tape::new(recorder, format_compact!("judge/{service}"))
}
