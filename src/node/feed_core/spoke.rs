//! An entry's part: what controls told, and judgement of the upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::boundary::Boundary;
use crate::breaker::Counts;
use crate::breaker::State;
use crate::clock::Moment;
use crate::config::Standing;
use crate::config::Version;
use crate::directory;
use crate::feed;
use crate::feed::Message;
use crate::feed::Subscriber;
use crate::feed::Tallies;
use crate::feed::Update;
use crate::fleet;
use crate::health;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::View;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::node::status;
use crate::node::view;
use crate::registry;
use crate::registry::Announcement;
use crate::retry::Participants;
use crate::rule::Rules;
use crate::timeline::Kind;
use crate::wire::Frame;

use super::Setup;
use super::breakers::Breakers;
use super::events;

/// Share of a service's slots that stay in use where its rules say nothing.
const FLOOR: f64 = 0.7;
/// Longest until traffic goes by what only time or whole answers change: who is slow, who is
/// warm. A view of 600 upstreams costs half a millisecond, and something is received always.
const SETTLE: Duration = Duration::from_millis(250);
/// An entry that no control has told anything for so long says so.
const ALONE: Duration = Duration::from_secs(5);

/// An entry's part.
#[derive(Debug)]
pub(super) struct Spoke {
    boundary: Arc<dyn Boundary>,
    breakers: Breakers,
    dirty: bool,
    entries: usize,
    id: NodeId,
    leaving: bool,
    /// Entries that callers are told of.
    named: Arc<Vec<directory::Entry>>,
    published: u64,
    rules: Option<Arc<Rules>>,
    participants: Participants,
    standing: Standing,
    subscriber: Subscriber,
    upstreams: BTreeMap<UpstreamId, Known>,
    version: Option<Version>,
    viewed_at: Moment,
}

/// An upstream as controls told of it.
#[derive(Clone, Debug)]
struct Known {
    said: Announcement,
    since: Moment,
}

/// Whether a message is for an entry.
pub(super) fn takes(message: &Message) -> bool {
    matches!(message, Message::Grant { .. } | Message::News(_))
}

impl Spoke {
    pub(super) fn new(now: Moment, setup: &Setup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(random.next_u64());
        let me = feed::Entry {
            callers: setup.callers,
            domain: setup.domain.clone(),
            id: setup.id.clone(),
            room: setup.room,
            state: fleet::State::Starting,
        };
        Self {
            boundary: Arc::clone(&setup.boundary),
            breakers: Breakers::new(now, draw()),
            dirty: true,
            entries: 1,
            id: setup.id.clone(),
            leaving: false,
            named: Arc::default(),
            published: 0,
            rules: None,
            participants: Participants::new(setup.retry_window),
            standing: Standing::Starting,
            subscriber: Subscriber::new(now, me, setup.seeds.clone(), draw()),
            upstreams: BTreeMap::new(),
            version: None,
            viewed_at: now,
        }
    }

    pub(super) fn handle(&mut self, now: Moment, input: &Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Drain => {
                self.leaving = true;
                self.dirty = true;
                self.subscriber.set_state(now, fleet::State::Leaving);
                self.tell_subscriber(now, feed::Input::Tick, &mut outputs);
            }
            Input::Frame(from, Frame::Feed(Message::News(news))) => {
                let input = feed::Input::Update(from.clone(), news.clone());
                self.tell_subscriber(now, input, &mut outputs);
            }
            Input::Frame(_, Frame::Feed(Message::Grant { ticket, grant })) => {
                outputs.push(Output::Granted(*ticket, grant.clone()));
            }
            Input::Quota(ticket, ask) => {
                // Without a control it is asked again before long.
                let message = Message::Ask { ticket: *ticket, ask: ask.clone() };
                let to = self.subscriber.current().cloned();
                outputs.extend(to.map(|to| Output::Send(to, None, Frame::Feed(message))));
            }
            Input::Outcome(service, upstream, kind, latency) => {
                self.note(
                    now,
                    service,
                    upstream,
                    &Counts::from_outcome(*kind, *latency),
                    &mut outputs,
                );
            }
            Input::Tried { is_repeatable, kind, latency, service, upstream } => {
                let counts = Counts::from_trial(*kind, *latency, *is_repeatable);
                self.note(now, service, upstream, &counts, &mut outputs);
            }
            Input::Overdue(service, upstream, ages) => {
                self.overdue(now, service, upstream, ages, &mut outputs);
            }
            Input::Carried(arrivals, bytes) => self.subscriber.record_traffic(*arrivals, *bytes),
            Input::Seeds(seeds) => self.subscriber.set_seeds(seeds.clone()),
            Input::Tick => self.tick(now, &mut outputs),
            _ => (),
        }
        outputs
    }

    pub(super) fn wake(&self) -> Moment {
        self.breakers.wake().into_iter().fold(self.subscriber.wake(), Moment::min)
    }

    pub(super) fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    pub(super) fn standing(&self) -> Standing {
        self.standing
    }

    pub(super) fn view(&mut self, now: Moment, last: &View) -> Option<View> {
        if !self.dirty && now < self.viewed_at + SETTLE {
            return None;
        }
        self.viewed_at = now;
        let services = self.services(now);
        if !self.dirty && last.has(&services) {
            return None;
        }
        self.dirty = false;
        Some(View {
            entries: Arc::clone(&self.named),
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
            let group = self.breakers.get(&said.service);
            let verdict = match group.map(|group| group.state(&said.upstream)) {
                None | Some(State::Closed) => health::Status::Sound,
                Some(State::Open { .. }) => health::Status::Ejected,
                Some(State::HalfOpen { .. }) => health::Status::Trial,
            };
            services.entry(said.service.clone()).or_default().push(status::Upstream {
                usable: said.state == registry::State::Ready,
                upstream: said.upstream.clone(),
                verdict,
            });
        }
        services
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.tell_subscriber(now, feed::Input::Tick, outputs);
        self.dirty |= self.breakers.look(now);
        let alone = self.subscriber.fresh_at().is_none_or(|at| now >= at + ALONE);
        let standing = match self.rules {
            None => Standing::Starting,
            Some(_) if alone => Standing::ServingAlone,
            Some(_) => Standing::Serving,
        };
        if standing != self.standing {
            self.standing = standing;
            self.dirty = true;
            let event = events::event(&self.id, Kind::Other("standing".into()));
            outputs.push(Output::Event(event.detail("is", format!("{standing:?}"))));
        }
    }

    fn tell_subscriber(&mut self, now: Moment, input: feed::Input, outputs: &mut Vec<Output>) {
        for output in self.subscriber.handle(now, input) {
            match output {
                feed::Output::Advertise(entries) => {
                    self.named = Arc::new(entries.iter().map(super::listed).collect());
                    self.dirty = true;
                }
                feed::Output::Record(tallies) => self.note_others(now, &tallies),
                feed::Output::Send(to, message) => {
                    outputs.push(Output::Send(to, None, Frame::Feed(message)));
                }
                feed::Output::Apply(news) => self.take(now, *news, outputs),
            }
        }
    }

    fn take(&mut self, now: Moment, news: Update, outputs: &mut Vec<Output>) {
        self.entries = news.entries.max(1);
        if news.fresh {
            self.participants.update(now, news.serving);
        }
        self.breakers.set_entries(news.entries);
        if let Some(version) = news.configuration {
            self.configure(now, version, outputs);
        }
        let delta = news.upstreams;
        if delta.whole {
            let kept: Vec<UpstreamId> =
                delta.upstreams.iter().map(|said| said.upstream.clone()).collect();
            let gone = self.upstreams.keys().filter(|id| !kept.contains(id)).cloned();
            let gone: Vec<UpstreamId> = gone.collect();
            gone.iter().for_each(|id| self.lose(id));
        }
        delta.gone.iter().for_each(|id| self.lose(id));
        for said in delta.upstreams {
            self.learn(now, said);
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
        let event =
            events::event(&self.id, Kind::ConfigurationApplied).configuration(version.number);
        outputs.push(Output::Event(event));
        self.rules = Some(rules);
        self.version = Some(version);
        self.dirty = true;
        let rules = self.rules.as_deref();
        self.breakers.set_floors(|service| floor(rules, service));
        if !self.leaving {
            self.subscriber.set_state(now, fleet::State::Serving);
        }
    }

    fn learn(&mut self, now: Moment, said: Announcement) {
        let known = self.upstreams.get(&said.upstream);
        let known = known.filter(|known| known.said.incarnation == said.incarnation);
        let is_new = known.is_none();
        let since = known.map_or(now, |known| known.since);
        if is_new {
            // What is known of a process that started again under its id is not of this one.
            self.lose(&said.upstream);
        }
        self.upstreams.insert(said.upstream.clone(), Known { said: said.clone(), since });
        self.dirty = true;
        let floor = self.floor(&said.service);
        if said.state == registry::State::Ready {
            self.breakers.join(&said.service, said.upstream, said.slots, floor);
        } else {
            self.breakers.leave(&said.upstream);
        }
    }

    fn lose(&mut self, id: &UpstreamId) {
        if self.upstreams.remove(id).is_some() {
            self.dirty = true;
            self.breakers.lose(id);
        }
    }

    fn floor(&self, service: &ServiceId) -> f64 {
        floor(self.rules.as_deref(), service)
    }

    /// Takes what a caller received here.
    fn note(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
        outputs: &mut Vec<Output>,
    ) {
        let Some(noted) = self.breakers.note_own(now, service, upstream, counts) else { return };
        if noted.is_evidence {
            let alarming = if noted.alarmed { counts.failed } else { 0 };
            let counts = Counts { alarming, cleared: noted.cleared, ..*counts };
            self.subscriber.record(now, upstream, &counts);
        }
        if noted.changed {
            self.dirty = true;
            let event = events::breaker(&self.id, service, upstream, &noted);
            outputs.extend(event.map(Output::Event));
        }
    }

    /// Takes what callers of other entries received.
    fn note_others(&mut self, now: Moment, tallies: &Tallies) {
        for (upstream, counts) in &tallies.by_upstream {
            let Some(known) = self.upstreams.get(upstream) else { continue };
            let service = &known.said.service;
            self.dirty |= self.breakers.note_others(now, service, upstream, counts);
        }
    }

    /// Counts requests that wait far longer than usual as broken, each once.
    fn overdue(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        ages: &[Duration],
        outputs: &mut Vec<Output>,
    ) {
        let counts = self.breakers.count_overdue(service, upstream, ages);
        if !counts.is_empty() {
            self.note(now, service, upstream, &counts, outputs);
        }
    }

    fn services(&self, now: Moment) -> BTreeMap<ServiceId, view::Service> {
        let mut services: BTreeMap<ServiceId, view::Service> = BTreeMap::new();
        let sharing = self.participants.count(now);
        let ready = |known: &&Known| known.said.state == registry::State::Ready;
        for known in self.upstreams.values().filter(ready) {
            let said = &known.said;
            let service = services.entry(said.service.clone()).or_default();
            service.entries = self.entries;
            service.sharing = sharing;
            service.addresses.insert(said.upstream.clone(), said.address);
            service.members.push(self.member(now, known));
        }
        for (name, service) in &mut services {
            let Some(group) = self.breakers.get(name) else { continue };
            service.weights = group.weights().into_iter().collect();
            service.trials = group.trials();
            service.suspects = group.suspects();
            service.settle(!service.suspects.is_empty());
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
}

/// Share of a service's slots that stay in use.
fn floor(rules: Option<&Rules>, service: &ServiceId) -> f64 {
    rules.and_then(|rules| rules.service(service)).map_or(FLOOR, |service| service.floor)
}
