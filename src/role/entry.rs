//! State of an entry: what it learned by the feed, and the circuit breakers of its upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::balance;
use crate::boundary::Compiler;
use crate::breaker::Counts;
use crate::breaker::State;
use crate::clock::Moment;
use crate::config::Standing;
use crate::config::Version;
use crate::feed;
use crate::feed::Message;
use crate::feed::Subscriber;
use crate::feed::Tallies;
use crate::feed::Update;
use crate::fleet;
use crate::health;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::View;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::node::status;
use crate::poison;
use crate::reach::Verdict;
use crate::registry;
use crate::registry::Announcement;
use crate::retry;
use crate::retry::Participants;
use crate::routing;
use crate::rule::Rules;
use crate::timeline::Kind;
use crate::wire::Frame;

use super::Setup;
use super::breakers::Breakers;
use super::events;
use super::limits::Limits;
use super::listing::Listing;

/// Default share of a service's slots that stays in use, for services without rules.
const DEFAULT_FLOOR: f64 = 0.7;
/// Interval at which views follow what changes with time or with successful answers, such as the
/// weights of slow upstreams and warm-up. A view of 600 upstreams costs half a millisecond, and
/// under load something changes all the time.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a request after which an upstream is told of as idle, and the interval between two
/// such lines. The outcomes of other entries arrive up to a second late.
const IDLE_AFTER: Duration = Duration::from_secs(3);
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// An entry reports `ServingAlone` after this long without news from a control in touch with a
/// leader.
const ALONE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of an entry.
#[derive(Debug)]
pub(super) struct Entry {
    /// Services that a control asks about.
    asked: Arc<BTreeSet<ServiceId>>,
    breakers: Breakers,
    compiler: Box<dyn Compiler>,
    /// Whether this entry's own network is the likely cause of its broken answers.
    has_local_fault: bool,
    /// Whether a change since the last view is to be published without waiting.
    is_dirty: bool,
    /// Failure domain of this entry.
    domain: DomainId,
    entries: usize,
    id: NodeId,
    /// When idle upstreams are told of next.
    idle_at: Moment,
    is_leaving: bool,
    /// Limits that upstreams named for all entries together.
    limits: Limits,
    /// Entries that callers are told of.
    listing: Listing,
    /// Version given to the service that changed last.
    service_version: u64,
    rules: Option<Arc<Rules>>,
    participants: Participants,
    poison: Arc<poison::List>,
    /// What was last reported of the paths to the services.
    reach: BTreeMap<ServiceId, Verdict>,
    standing: Standing,
    subscriber: Subscriber,
    upstreams: BTreeMap<UpstreamId, Known>,
    version: Option<Version>,
    viewed_at: Moment,
    /// Reports withheld since this entry's own network became the likely cause.
    withheld: u64,
}

/// An announced upstream.
#[derive(Clone, Debug)]
struct Known {
    announcement: Announcement,
    /// Whether it said in an answer that it leaves. The table may not know yet.
    is_leaving: bool,
    rank: balance::Rank,
    /// When this entry first learned of its incarnation.
    since: Moment,
}

/// Whether an entry processes this message.
pub(super) fn is_for_entry(message: &Message) -> bool {
    matches!(message, Message::Grant { .. } | Message::News(_) | Message::Part(_))
}

impl Entry {
    pub(super) fn new(now: Moment, setup: &Setup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut draw = || ChaCha8Rng::seed_from_u64(random.next_u64());
        let me = feed::Entry {
            callers: setup.callers,
            domain: setup.domain.clone(),
            id: setup.id.clone(),
            peers: setup.peers,
            reach: BTreeMap::new(),
            room: setup.room,
            state: fleet::State::Starting,
        };
        Self {
            asked: Arc::default(),
            breakers: Breakers::new(now),
            compiler: setup.boundary.compiler(),
            is_dirty: true,
            domain: setup.domain.clone(),
            has_local_fault: false,
            entries: 1,
            id: setup.id.clone(),
            idle_at: now + IDLE_AFTER,
            is_leaving: false,
            limits: Limits::default(),
            listing: Listing::default(),
            service_version: 0,
            rules: None,
            participants: Participants::new(setup.retry_window),
            poison: Arc::default(),
            reach: BTreeMap::new(),
            standing: Standing::Starting,
            subscriber: Subscriber::new(now, me, setup.seeds.clone(), draw()),
            upstreams: BTreeMap::new(),
            version: None,
            viewed_at: now,
            withheld: 0,
        }
    }

    pub(super) fn handle(&mut self, now: Moment, input: &Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Drain => {
                self.is_leaving = true;
                self.is_dirty = true;
                self.subscriber.set_state(now, fleet::State::Leaving);
                self.step_subscriber(now, feed::Input::Tick, &mut outputs);
            }
            Input::Frame(from, Frame::Feed(Message::News(news))) => {
                let input = feed::Input::Update(from.clone(), news.clone());
                self.step_subscriber(now, input, &mut outputs);
            }
            Input::Frame(_, Frame::Feed(Message::Part(part))) => {
                self.step_subscriber(now, feed::Input::Part(part.clone()), &mut outputs);
            }
            Input::Frame(_, Frame::Feed(Message::Grant { ticket, grant })) => {
                outputs.push(Output::QuotaGranted(*ticket, grant.clone()));
            }
            Input::Poison(evidence) => {
                self.subscriber.record_poison(now, evidence);
                self.step_subscriber(now, feed::Input::Tick, &mut outputs);
            }
            Input::Probed(_, upstream, Some(true), _) => self.note_leaving(upstream, &mut outputs),
            Input::Quota(ticket, demand) => {
                // Without a control it is dropped; the limiter repeats it.
                let message = Message::Ask { ticket: *ticket, ask: demand.clone() };
                let to = self.subscriber.current().cloned();
                outputs.extend(to.map(|to| Output::Send(to, None, Frame::Feed(message))));
            }
            Input::Outcome(service, upstream, kind, latency) => {
                self.record_own(
                    now,
                    service,
                    upstream,
                    &Counts::from_outcome(*kind, *latency),
                    &mut outputs,
                );
            }
            Input::TrialBegan(service, upstream) => {
                self.breakers.begin_trial(now, service, upstream);
                self.is_dirty = true;
                self.subscriber.record(now, upstream, &Counts::from_trial_start());
            }
            Input::TrialOutcome(service, upstream, kind, latency) => {
                let counts = Counts::from_trial(*kind, *latency);
                self.record_own(now, service, upstream, &counts, &mut outputs);
            }
            Input::Overdue(service, upstream, ages) => {
                self.record_overdue(now, service, upstream, ages, &mut outputs);
            }
            Input::UpstreamLimit(upstream, limit) => {
                self.record_limit(now, upstream, *limit, &mut outputs);
            }
            Input::Throughput(arrivals, bytes) => self.subscriber.record_traffic(*arrivals, *bytes),
            Input::Reach(verdicts) => self.set_reach(now, verdicts, &mut outputs),
            Input::Seeds(seeds) => self.subscriber.set_seeds(seeds.clone()),
            Input::Tick => self.tick(now, &mut outputs),
            _ => (),
        }
        outputs
    }

    pub(super) fn next_at(&self) -> Moment {
        self.breakers.next_at().into_iter().fold(self.subscriber.wake(), Moment::min)
    }

    pub(super) fn version(&self) -> Option<&Version> {
        self.version.as_ref()
    }

    pub(super) fn standing(&self) -> Standing {
        self.standing
    }

    pub(super) fn view(&mut self, now: Moment, last: &View) -> Option<View> {
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

    pub(super) fn upstreams(&self, _: Moment) -> BTreeMap<ServiceId, Vec<status::Upstream>> {
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

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.step_subscriber(now, feed::Input::Tick, outputs);
        self.is_dirty |= self.breakers.tick(now);
        self.note_local_fault(now, outputs);
        self.note_idle(now, outputs);
        let is_alone = self.subscriber.fresh_at().is_none_or(|at| now >= at + ALONE_TIMEOUT);
        let standing = match self.rules {
            None => Standing::Starting,
            Some(_) if is_alone => Standing::ServingAlone,
            Some(_) => Standing::Serving,
        };
        if standing != self.standing {
            self.standing = standing;
            self.is_dirty = true;
            let event = events::event(&self.id, Kind::Other("standing".into()));
            outputs.push(Output::Event(event.detail("is", format!("{standing:?}"))));
        }
    }

    fn set_reach(
        &mut self,
        now: Moment,
        verdicts: &BTreeMap<ServiceId, Verdict>,
        outputs: &mut Vec<Output>,
    ) {
        let is_lost = |reach: &BTreeMap<ServiceId, Verdict>, service: &ServiceId| {
            reach.get(service) == Some(&Verdict::Lost)
        };
        for service in verdicts.keys().chain(self.reach.keys()).collect::<BTreeSet<_>>() {
            let (before, after) = (is_lost(&self.reach, service), is_lost(verdicts, service));
            if before != after {
                outputs.push(Output::Event(events::path(&self.id, service, after)));
            }
        }
        self.reach.clone_from(verdicts);
        self.subscriber.set_reach(now, verdicts.clone());
        self.step_subscriber(now, feed::Input::Tick, outputs);
    }

    fn note_local_fault(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let is_likely = self.breakers.is_local_fault(now);
        if is_likely == self.has_local_fault {
            return;
        }
        self.has_local_fault = is_likely;
        let withheld = std::mem::take(&mut self.withheld);
        outputs.push(Output::Event(events::local_fault(&self.id, is_likely, withheld)));
    }

    /// Tells of idle upstreams, at an entry that callers are told of: the others hear of faults alone.
    fn note_idle(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.idle_at || !self.listing.includes(&self.id) {
            return;
        }
        self.idle_at = now + IDLE_INTERVAL;
        let idle = self.breakers.idle(now, IDLE_AFTER);
        let event = |(service, idle): &(ServiceId, _)| events::idle(&self.id, service, idle);
        outputs.extend(idle.iter().map(event).map(Output::Event));
    }

    fn step_subscriber(&mut self, now: Moment, input: feed::Input, outputs: &mut Vec<Output>) {
        for output in self.subscriber.handle(now, input) {
            match output {
                feed::Output::Ask(services) => {
                    self.asked = Arc::new(services);
                    self.is_dirty = true;
                }
                feed::Output::Advertise(entries) => {
                    self.listing = Listing::new(&self.id, &entries, self.listing.is_settled);
                    self.is_dirty = true;
                    self.update_ranks();
                }
                feed::Output::Quarantine(list) => {
                    self.poison = Arc::new(list);
                    self.is_dirty = true;
                }
                feed::Output::Record(tallies) => self.record_others(now, &tallies, outputs),
                feed::Output::Send(to, message) => {
                    outputs.push(Output::Send(to, None, Frame::Feed(message)));
                }
                feed::Output::Apply(news) => self.apply_news(now, *news),
                feed::Output::Narrow(selection) => self.narrow(&selection),
                feed::Output::Retain(kept) => self.retain(|known| kept.contains(&known.upstream)),
                feed::Output::Configure(version) => self.apply_configuration(now, version, outputs),
                feed::Output::Unanswered(control, waited) => {
                    outputs.push(Output::Event(events::unanswered_poll(&self.id, control, waited)));
                }
            }
        }
    }

    fn apply_news(&mut self, now: Moment, news: Update) {
        self.entries = news.entries.max(1);
        self.is_dirty |= self.listing.is_settled != news.is_settled;
        self.listing.is_settled = news.is_settled;
        if news.fresh {
            let is_listed = self.listing.includes(&self.id);
            let listing = retry::Listing {
                entries: news.entries,
                is_listed,
                is_serving: self.standing.serves(),
                is_settled: news.is_settled,
                serving: news.serving,
            };
            self.participants.update(now, listing);
        }
        let delta = news.upstreams;
        delta.gone.iter().for_each(|id| self.remove(id));
        for announcement in delta.upstreams {
            self.add(now, announcement);
        }
    }

    /// Forgets the upstreams that are not in a selection.
    fn narrow(&mut self, selection: &feed::Selection) {
        let (id, domain) = (self.id.clone(), self.domain.clone());
        self.retain(|announced| selection.includes(&id, &domain, announced));
    }

    /// Forgets the upstreams that `keeps` does not accept.
    fn retain(&mut self, keeps: impl Fn(&Announcement) -> bool) {
        let gone = self.upstreams.values().filter(|known| !keeps(&known.announcement));
        let gone: Vec<UpstreamId> = gone.map(|known| known.announcement.upstream.clone()).collect();
        gone.iter().for_each(|id| self.remove(id));
    }

    fn apply_configuration(&mut self, now: Moment, version: Version, outputs: &mut Vec<Output>) {
        if self.version.as_ref().is_some_and(|current| current.number >= version.number) {
            return;
        }
        let rules = match self.compiler.compile(&version.document) {
            Ok(rules) => Arc::new(rules),
            Err(error) => {
                let number = version.number;
                tracing::error!(target: "hemlockfield::config", number, "configuration can't be compiled: {error}");
                return;
            }
        };
        let behind = self.subscriber.caught_up_after();
        let event = events::configuration(&self.id, &version, behind);
        outputs.push(Output::Event(event));
        self.rules = Some(rules);
        self.version = Some(version);
        self.is_dirty = true;
        let rules = self.rules.as_deref();
        self.breakers.set_floors(|service| floor(rules, service));
        if !self.is_leaving {
            self.subscriber.set_state(now, fleet::State::Serving);
        }
    }

    fn add(&mut self, now: Moment, announcement: Announcement) {
        let known = self.upstreams.get(&announcement.upstream);
        let known =
            known.filter(|known| known.announcement.incarnation == announcement.incarnation);
        let is_new = known.is_none();
        let since = known.map_or(now, |known| known.since);
        let is_leaving = known.is_some_and(|known| known.is_leaving);
        if is_new {
            // The upstream may have restarted; what was observed of its previous process does not
            // apply to this one.
            self.remove(&announcement.upstream);
        }
        let rank = self.listing.rank(&self.id, &announcement);
        self.upstreams.insert(
            announcement.upstream.clone(),
            Known { announcement: announcement.clone(), is_leaving, rank, since },
        );
        self.is_dirty = true;
        let floor = self.floor(&announcement.service);
        if announcement.state == registry::State::Ready && !is_leaving {
            let Announcement { service, slots, upstream, .. } = announcement;
            self.breakers.join(&service, upstream.clone(), slots, floor);
            self.breakers.set_rank(&service, &upstream, rank);
        } else {
            self.breakers.leave(&announcement.upstream);
        }
    }

    /// Updates the ranks of this entry after the entries that callers are told of have changed.
    fn update_ranks(&mut self) {
        for known in self.upstreams.values_mut() {
            let announcement = &known.announcement;
            known.rank = self.listing.rank(&self.id, announcement);
            let (service, upstream) = (&announcement.service, &announcement.upstream);
            self.breakers.set_rank(service, upstream, known.rank);
        }
    }

    fn remove(&mut self, id: &UpstreamId) {
        if self.upstreams.remove(id).is_some() {
            self.is_dirty = true;
            self.breakers.remove(id);
            self.limits.remove(id);
        }
    }

    fn floor(&self, service: &ServiceId) -> f64 {
        floor(self.rules.as_deref(), service)
    }

    /// Records an outcome of this entry's callers.
    fn record_own(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        counts: &Counts,
        outputs: &mut Vec<Output>,
    ) {
        let Some(effect) = self.breakers.record_own(now, service, upstream, counts) else { return };
        if effect.is_evidence {
            let alarming = if effect.is_alarming { counts.failed } else { 0 };
            let counts = Counts { alarming, cleared: effect.cleared, ..*counts };
            self.subscriber.record(now, upstream, &counts);
        } else {
            self.withheld += 1;
        }
        if effect.has_changed {
            self.is_dirty = true;
            let event = events::breaker(&self.id, service, upstream, &effect);
            outputs.extend(event.map(Output::Event));
        }
    }

    /// Takes out an upstream that said in an answer that it leaves.
    fn note_leaving(&mut self, upstream: &UpstreamId, outputs: &mut Vec<Output>) {
        let Some(known) = self.upstreams.get_mut(upstream).filter(|known| !known.is_leaving) else {
            return;
        };
        known.is_leaving = true;
        self.breakers.leave(upstream);
        self.is_dirty = true;
        outputs.push(Output::Event(events::leaving(&self.id, upstream)));
    }

    /// Records the limit that an upstream named to this entry, and reports a new one.
    fn record_limit(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        limit: Option<balance::Limit>,
        outputs: &mut Vec<Output>,
    ) {
        if self.set_limit(upstream, limit, outputs) {
            self.subscriber.record_limit(now, upstream, limit);
        }
    }

    /// Sets the limit that an upstream named; returns whether it is new.
    fn set_limit(
        &mut self,
        upstream: &UpstreamId,
        limit: Option<balance::Limit>,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let is_new = self.upstreams.contains_key(upstream) && self.limits.set(upstream, limit);
        if is_new {
            self.is_dirty = true;
            outputs.push(Output::Event(events::limit(&self.id, upstream, limit)));
        }
        is_new
    }

    /// Records outcomes of other entries' callers.
    fn record_others(&mut self, now: Moment, tallies: &Tallies, outputs: &mut Vec<Output>) {
        for (upstream, limit) in &tallies.limits {
            self.set_limit(upstream, *limit, outputs);
        }
        for (upstream, counts) in &tallies.by_upstream {
            let Some(known) = self.upstreams.get(upstream) else { continue };
            let service = &known.announcement.service;
            self.is_dirty |= self.breakers.record_others(now, service, upstream, counts);
        }
    }

    /// Records requests that have waited far longer than usual as failures, each once.
    fn record_overdue(
        &mut self,
        now: Moment,
        service: &ServiceId,
        upstream: &UpstreamId,
        ages: &[Duration],
        outputs: &mut Vec<Output>,
    ) {
        let counts = self.breakers.count_overdue(service, upstream, ages);
        if !counts.is_empty() {
            self.record_own(now, service, upstream, &counts, outputs);
        }
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

/// Share of a service's slots that stays in use whatever the breakers say.
fn floor(rules: Option<&Rules>, service: &ServiceId) -> f64 {
    rules.and_then(|rules| rules.service(service)).map_or(DEFAULT_FLOOR, |service| service.floor)
}
