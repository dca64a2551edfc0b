//! State of an entry: what it learned by the feed, and the circuit breakers of its upstreams.

mod outcomes;
mod upstreams;
mod view;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::boundary::Compiler;
use crate::breaker::Counts;
use crate::clock::Moment;
use crate::config::Standing;
use crate::config::Version;
use crate::feed;
use crate::feed::Message;
use crate::feed::Subscriber;
use crate::feed::Update;
use crate::fleet;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::node::core::Input;
use crate::node::core::Output;
use crate::poison;
use crate::reach::Verdict;
use crate::retry;
use crate::retry::Participants;
use crate::rule::Rules;
use crate::timeline::Kind;
use crate::wire::Frame;

use super::Setup;
use super::breakers::Breakers;
use super::events;
use super::limits::Limits;
use super::listing::Listing;

use self::upstreams::Known;
use self::upstreams::floor;

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
}
