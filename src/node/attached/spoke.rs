//! An entry's part: what controls told, and judgement of the upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::boundary::Boundary;
use crate::clock::Moment;
use crate::config::Standing;
use crate::config::Version;
use crate::feed;
use crate::feed::Message;
use crate::feed::News;
use crate::feed::Subscriber;
use crate::fleet::State;
use crate::health;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::View;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::node::judges::Judges;
use crate::node::judges::Told;
use crate::node::status;
use crate::node::view;
use crate::registry;
use crate::registry::Announcement;
use crate::rule::Rules;
use crate::timeline::Event;
use crate::timeline::Kind;
use crate::timeline::Stamp;
use crate::wire::Frame;

use super::Setup;

/// Pause between two tellings of evidence: one that is half as old again as the gathering
/// at the control delays nothing that matters, and is a fifth of the messages.
const TELL: Duration = Duration::from_millis(100);
/// An entry that no control has told anything for so long says so.
const ALONE: Duration = Duration::from_secs(5);

/// An entry's part.
#[derive(Debug)]
pub(super) struct Spoke {
    boundary: Arc<dyn Boundary>,
    dirty: bool,
    entries: usize,
    evidence: BTreeMap<ServiceId, health::Digest>,
    id: NodeId,
    judges: Judges,
    leaving: bool,
    published: u64,
    rules: Option<Arc<Rules>>,
    standing: Standing,
    subscriber: Subscriber,
    tell_at: Moment,
    upstreams: BTreeMap<UpstreamId, Known>,
    version: Option<Version>,
}

/// An upstream as controls told of it.
#[derive(Clone, Debug)]
struct Known {
    said: Announcement,
    since: Moment,
}

/// Whether a message is for an entry.
pub(super) fn takes(message: &Message) -> bool {
    matches!(message, Message::Evidence(_) | Message::News(_))
}

impl Spoke {
    pub(super) fn new(now: Moment, setup: &Setup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(random.next_u64());
        let me = feed::Entry {
            callers: setup.callers,
            domain: setup.domain.clone(),
            id: setup.id.clone(),
            state: State::Starting,
        };
        Self {
            boundary: Arc::clone(&setup.boundary),
            dirty: true,
            entries: 1,
            evidence: BTreeMap::new(),
            id: setup.id.clone(),
            judges: Judges::new(now, setup.id.clone(), setup.recorder.clone(), draw()),
            leaving: false,
            published: 0,
            rules: None,
            standing: Standing::Starting,
            subscriber: Subscriber::new(now, me, setup.seeds.clone(), draw()),
            tell_at: now,
            upstreams: BTreeMap::new(),
            version: None,
        }
    }

    pub(super) fn handle(&mut self, now: Moment, input: &Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Drain => {
                self.leaving = true;
                self.dirty = true;
                self.subscriber.set_state(now, State::Leaving);
                self.tell_subscriber(now, feed::Input::Tick, &mut outputs);
            }
            Input::Frame(_, Frame::Feed(Message::Evidence(evidence))) => {
                for (service, digest) in evidence.clone() {
                    let told = self.judges.tell(now, &service, health::Input::Digest(digest));
                    self.judged(told, &mut outputs);
                }
            }
            Input::Frame(from, Frame::Feed(Message::News(news))) => {
                let input = feed::Input::News(from.clone(), news.clone());
                self.tell_subscriber(now, input, &mut outputs);
            }
            Input::Outcome(service, upstream, kind, latency) => {
                let (kind, latency) = (*kind, *latency);
                let input = health::Input::Outcome { kind, latency, upstream: upstream.clone() };
                let told = self.judges.tell(now, service, input);
                self.judged(told, &mut outputs);
            }
            Input::Overdue(service, upstream, ages) => {
                let input =
                    health::Input::Pending { ages: ages.clone(), upstream: upstream.clone() };
                let told = self.judges.tell(now, service, input);
                self.judged(told, &mut outputs);
            }
            Input::Seeds(seeds) => self.subscriber.set_seeds(seeds.clone()),
            Input::Tick => self.tick(now, &mut outputs),
            _ => (),
        }
        outputs
    }

    pub(super) fn wake(&self) -> Moment {
        let evidence = if self.evidence.is_empty() { Moment::MAX } else { self.tell_at };
        self.subscriber.wake().min(self.judges.wake()).min(evidence)
    }

    pub(super) fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    pub(super) fn standing(&self) -> Standing {
        self.standing
    }

    pub(super) fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        let services = self.services(now);
        if !self.dirty && last.has(&services) {
            return None;
        }
        self.dirty = false;
        Some(View {
            entries: Arc::clone(&last.entries),
            leaving: self.leaving,
            number: self.version.as_ref().map(|version| version.number),
            rules: self.rules.clone(),
            services: last.succeed(services, &mut self.published),
            standing: self.standing,
        })
    }

    pub(super) fn upstreams(&self, _: Moment) -> BTreeMap<ServiceId, Vec<status::Upstream>> {
        let mut services: BTreeMap<ServiceId, Vec<status::Upstream>> = BTreeMap::new();
        for Known { said, .. } in self.upstreams.values() {
            let judge = self.judges.get(&said.service);
            let verdict = judge.map(|judge| judge.verdict(&said.upstream));
            services.entry(said.service.clone()).or_default().push(status::Upstream {
                usable: said.state == registry::State::Ready,
                upstream: said.upstream.clone(),
                verdict: verdict.unwrap_or(health::Verdict::Sound),
            });
        }
        services
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.tell_subscriber(now, feed::Input::Tick, outputs);
        let told = self.judges.tick(now);
        self.judged(told, outputs);
        self.tell_evidence(now, outputs);
        let alone = self.subscriber.fresh_at().is_none_or(|at| now >= at + ALONE);
        let standing = match self.rules {
            None => Standing::Starting,
            Some(_) if alone => Standing::ServingAlone,
            Some(_) => Standing::Serving,
        };
        if standing != self.standing {
            self.standing = standing;
            self.dirty = true;
            let event = self.event(Kind::Other("standing".into()));
            outputs.push(Output::Event(event.detail("is", format!("{standing:?}"))));
        }
    }

    fn tell_subscriber(&mut self, now: Moment, input: feed::Input, outputs: &mut Vec<Output>) {
        for output in self.subscriber.handle(now, input) {
            match output {
                feed::Output::Send(to, message) => {
                    outputs.push(Output::Send(to, None, Frame::Feed(message)));
                }
                feed::Output::Take(news) => self.take(now, *news, outputs),
            }
        }
    }

    fn take(&mut self, now: Moment, news: News, outputs: &mut Vec<Output>) {
        self.entries = news.entries.max(1);
        if let Some(version) = news.configuration {
            self.configure(now, version, outputs);
        }
        let delta = news.upstreams;
        if delta.whole {
            let kept: Vec<UpstreamId> =
                delta.upstreams.iter().map(|said| said.upstream.clone()).collect();
            let gone = self.upstreams.keys().filter(|id| !kept.contains(id)).cloned();
            let gone: Vec<UpstreamId> = gone.collect();
            gone.iter().for_each(|id| self.lose(now, id, outputs));
        }
        delta.gone.iter().for_each(|id| self.lose(now, id, outputs));
        for said in delta.upstreams {
            self.learn(now, said, outputs);
        }
    }

    fn configure(&mut self, now: Moment, version: Version, outputs: &mut Vec<Output>) {
        if self.version.as_ref().is_some_and(|held| held.number >= version.number) {
            return;
        }
        let rules = match self.boundary.rules(&version.document) {
            Ok(rules) => Arc::new(rules),
            Err(error) => {
                let number = version.number;
                tracing::error!(target: "hemlockfield::config", number, "can't be read: {error}");
                return;
            }
        };
        let event = self.event(Kind::ConfigurationApplied).configuration(version.number);
        outputs.push(Output::Event(event));
        let (fresh, told) = self.judges.set_rules(now, &rules);
        self.judged(told, outputs);
        self.rules = Some(rules);
        self.version = Some(version);
        self.dirty = true;
        let known: Vec<Announcement> =
            self.upstreams.values().map(|known| known.said.clone()).collect();
        for said in known.into_iter().filter(|said| fresh.contains(&said.service)) {
            self.introduce(now, &said, outputs);
        }
        if !self.leaving {
            self.subscriber.set_state(now, State::Serving);
        }
    }

    fn learn(&mut self, now: Moment, said: Announcement, outputs: &mut Vec<Output>) {
        let since = self.upstreams.get(&said.upstream).map_or(now, |known| known.since);
        self.upstreams.insert(said.upstream.clone(), Known { said: said.clone(), since });
        self.dirty = true;
        if said.state == registry::State::Ready {
            self.introduce(now, &said, outputs);
        } else {
            let told = self.judges.forget(now, &said.upstream);
            self.judged(told, outputs);
        }
    }

    fn lose(&mut self, now: Moment, id: &UpstreamId, outputs: &mut Vec<Output>) {
        if self.upstreams.remove(id).is_some() {
            self.dirty = true;
            let told = self.judges.forget(now, id);
            self.judged(told, outputs);
        }
    }

    fn introduce(&mut self, now: Moment, said: &Announcement, outputs: &mut Vec<Output>) {
        if said.state != registry::State::Ready {
            return;
        }
        let (domain, upstream) = (said.domain.clone(), said.upstream.clone());
        let input = health::Input::Member { domain, slots: said.slots, upstream };
        let told = self.judges.tell(now, &said.service, input);
        self.judged(told, outputs);
    }

    fn judged(&mut self, told: Vec<Told>, outputs: &mut Vec<Output>) {
        for told in told {
            match told {
                Told::Event(event) => {
                    self.dirty = true;
                    outputs.push(Output::Event(event));
                }
                Told::Share(service, digest) | Told::Tell(service, digest, _) => {
                    self.evidence.insert(service, digest);
                }
            }
        }
    }

    fn tell_evidence(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if self.evidence.is_empty() || now < self.tell_at {
            return;
        }
        self.tell_at = now + TELL;
        let evidence: Vec<_> = std::mem::take(&mut self.evidence).into_iter().collect();
        if let Some(control) = self.subscriber.current().cloned() {
            let frame = Frame::Feed(Message::Evidence(evidence));
            outputs.push(Output::Send(control, None, frame));
        }
    }

    fn services(&self, now: Moment) -> BTreeMap<ServiceId, view::Service> {
        let mut services: BTreeMap<ServiceId, view::Service> = BTreeMap::new();
        let ready = |known: &&Known| known.said.state == registry::State::Ready;
        for known in self.upstreams.values().filter(ready) {
            let said = &known.said;
            let service = services.entry(said.service.clone()).or_default();
            service.entries = self.entries;
            service.addresses.insert(said.upstream.clone(), said.address);
            service.members.push(self.member(now, known));
            let weight = self.judges.get(&said.service).map(|judge| judge.weight(&said.upstream));
            if let Some(weight) = weight.filter(|weight| *weight < 1.0) {
                service.weights.insert(said.upstream.clone(), weight);
            }
        }
        for (name, service) in &mut services {
            service.settle(self.judges.is_at_floor(name));
        }
        services
    }

    fn member(&self, now: Moment, known: &Known) -> balance::Member {
        let said = &known.said;
        let rules = self.rules.as_ref().and_then(|rules| rules.service(&said.service));
        let connections = rules.and_then(|service| service.connections);
        let until = known.since.saturating_add(said.warm_up);
        let warm = balance::State::Warm { since: known.since, until };
        balance::Member {
            connections: connections.map_or(said.connections, |count| count as u32),
            domain: said.domain.clone(),
            slots: said.slots,
            state: if now < until { warm } else { balance::State::Ready },
            upstream: said.upstream.clone(),
        }
    }

    fn event(&self, kind: Kind) -> Event {
        Event::new(Stamp::default(), self.id.clone(), kind)
    }
}
