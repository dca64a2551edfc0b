//! A control's side: who asked, what each knows, and what all are told at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Control;
use super::Entry;
use super::Load;
use super::Message;
use super::News;
use super::Poll;
use super::Rate;
use super::Ready;
use super::Tallies;
use super::entry;
use crate::catalog::Catalog;
use crate::clock::Moment;
use crate::config::Version;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::Index;
use crate::id::NodeId;

/// An entry that has not asked for so long is left out of lists: two rounds and a lost
/// one. Callers would try it in vain.
const LOST: Duration = Duration::from_millis(1600);
/// What another control has told counts for so long without being told again.
const HEARSAY: Duration = Duration::from_secs(4);
/// Shortest pause between two pushes: under a storm of changes entries get the last of some
/// at once, and not each by itself.
const PUSH_GAP: Duration = Duration::from_millis(100);
/// Pause in which broken answers are gathered that entries should know of at once: a fault
/// that begins under load breaks several within it.
const GATHER: Duration = Duration::from_millis(15);
/// Shortest pause between two tellings of broken answers. With hundreds of upstreams some break
/// an answer at any moment, and each telling costs each entry a wake-up; where each upstream
/// gets a request or two a second, hardly one more is lost in this time.
const PASS_GAP: Duration = Duration::from_millis(50);
/// An entry that got no request for so long needs to hear only what opens and closes breakers,
/// and only when it asks: of 277 entries two thirds take no callers.
const IDLE: Duration = Duration::from_secs(3);
/// Pause in which all else that callers received is gathered for the other controls.
const COLLECT: Duration = Duration::from_millis(500);

/// A control that has just started has not heard from all entries yet; a list of a few would
/// send all callers to those.
pub const WARM_UP: Duration = Duration::from_millis(1500);
/// Fewest entries that callers are told of, spread over the failure domains: the loss of one
/// leaves its work to two others. With one in each of three domains, where that carries the load,
/// an entry sees twice as much of the upstreams as with two: of the work of loaded days on two
/// deployments 84.4% and 87.8% was served, 83.9% and 86.9% with two (5 runs each).
const FEWEST: usize = 3;
/// Requests a second for each slot of the upstreams, for which there are to be entries before
/// any load was seen: 0.5 to 1.2 on the users' sites. Without it all callers of a large fleet
/// begin at the fewest entries, which are overrun before they can tell that.
const PER_SLOT: f64 = 1.0;
/// Bytes of a request and its answer before any was seen: an upload of 60 KB among a dozen
/// requests of a few hundred bytes.
const PER_REQUEST: f64 = 6_000.0;

/// What a control knows for sure, for the feed to tell.
#[derive(Debug)]
pub struct Ledger<'a> {
    /// Index of the log up to which all is applied.
    pub applied: Index,
    /// The table of upstreams.
    pub catalog: &'a Catalog,
    /// The configuration in force, and since which index.
    pub configuration: Option<(&'a Version, Index)>,
    /// All controls.
    pub controls: Vec<Control>,
    /// Whether a leader was heard from just now.
    pub fresh: bool,
}

/// A control's side of the feed.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    attached: BTreeMap<NodeId, Attached>,
    bytes: Rate,
    collected: Tallies,
    has_moved: bool,
    hearsay: BTreeMap<NodeId, (Moment, Entry, NodeId)>,
    passed_at: Moment,
    pass_at: Option<Moment>,
    push_at: Option<Moment>,
    pushed_at: Moment,
    rate: Rate,
    slots: u32,
    /// Entries that callers were told of when tallies were last passed on.
    told: BTreeSet<NodeId>,
}

#[derive(Clone, Debug)]
struct Attached {
    /// When it last told of requests.
    carried_at: Option<Moment>,
    entry: Entry,
    heard: Moment,
    known: Index,
    tallies: Tallies,
}

impl Attached {
    /// Whether it got requests of late.
    fn carries(&self, now: Moment) -> bool {
        self.carried_at.is_some_and(|at| now < at + IDLE)
    }
}

impl Publisher {
    /// Answers an entry's question.
    pub fn poll(&mut self, now: Moment, poll: Poll, ledger: &Ledger<'_>) -> Vec<(NodeId, Message)> {
        let id = poll.entry.id.clone();
        let before = self.attached.get(&id).map(|attached| attached.entry.state);
        if before != Some(poll.entry.state) {
            self.has_moved = true;
        }
        self.hearsay.remove(&id);
        let known = ledger.applied.max(poll.known);
        let before = self.attached.remove(&id);
        self.gather(now, &poll.tallies, true);
        let carried = (poll.tallies.arrivals > 0).then_some(now);
        let carried_at = carried.or(before.as_ref().and_then(|before| before.carried_at));
        let tallies = before.map(|before| before.tallies).unwrap_or_default();
        let attached = Attached {
            carried_at,
            entry: poll.entry,
            heard: now,
            known,
            tallies: Tallies::default(),
        };
        self.attached.insert(id.clone(), attached);
        let mut news = self.news(now, poll.known, poll.sequence, tallies, ledger);
        news.named = self.others_named(now, poll.named);
        vec![(id, Message::News(Box::new(news)))]
    }

    /// Takes what another control says of its entries.
    pub fn hear(&mut self, now: Moment, from: &NodeId, ready: Ready) {
        self.hearsay.retain(|_, (_, _, by)| by != from);
        for entry in ready.entries {
            let own = self.attached.get(&entry.id);
            if own.is_none_or(|own| now >= own.heard + LOST) {
                self.hearsay.insert(entry.id.clone(), (now, entry, from.clone()));
            }
        }
    }

    /// Takes what callers received; `own` where an entry of this control told it.
    pub fn gather(&mut self, now: Moment, tallies: &Tallies, own: bool) {
        if tallies.is_empty() {
            return;
        }
        self.rate.add(now, u64::from(tallies.arrivals));
        self.bytes.add(now, tallies.bytes);
        let urgent = tallies.urgent();
        for own in self.attached.values_mut() {
            let carries = own.carries(now) || self.told.contains(&own.entry.id);
            own.tallies.add_all(if carries { tallies } else { &urgent });
        }
        if own {
            self.collected.add_all(tallies);
        }
        let at = match tallies.is_urgent() {
            true => (now + GATHER).max(self.passed_at + PASS_GAP),
            false => now + COLLECT,
        };
        self.pass_at = Some(self.pass_at.map_or(at, |other| other.min(at)));
    }

    /// Notes that the log told something that entries must know.
    pub fn changed(&mut self, now: Moment) {
        let at = now.max(self.pushed_at + PUSH_GAP);
        self.push_at = Some(self.push_at.map_or(at, |other| other.min(at)));
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Moment, ledger: &Ledger<'_>) -> Vec<(NodeId, Message)> {
        let mut sends = Vec::new();
        if self.push_at.is_some_and(|at| at <= now) {
            self.push(now, ledger, &mut sends);
        }
        if self.pass_at.is_some_and(|at| at <= now) {
            self.pass_on(now, ledger, &mut sends);
        }
        sends
    }

    /// When it wants to be told the time.
    pub fn wake(&self) -> Moment {
        self.push_at.into_iter().chain(self.pass_at).min().unwrap_or(Moment::MAX)
    }

    /// Whether an entry came, or began or ceased to take callers, since it was last told.
    pub fn has_moved(&self) -> bool {
        self.has_moved
    }

    /// The entries that ask this control, to be told to the others.
    pub fn own(&mut self, now: Moment) -> Vec<Entry> {
        self.has_moved = false;
        self.attached.retain(|_, own| now < own.heard + LOST);
        self.hearsay.retain(|_, (at, ..)| now < *at + HEARSAY);
        self.attached.values().map(|own| own.entry.clone()).collect()
    }

    /// Entries that callers are to use, a few in each failure domain. Spread over all of a
    /// large fleet, callers would leave each entry a request every 0.3 s: too few for it to
    /// see which upstreams are busy, to keep connections open, or to have a retry to spare.
    pub fn named(&self, now: Moment) -> Vec<&Entry> {
        let mut domains: BTreeMap<&DomainId, Vec<&Entry>> = BTreeMap::new();
        for entry in self.serving(now) {
            domains.entry(&entry.domain).or_default().push(entry);
        }
        let part = 1.0 / domains.len().max(1) as f64;
        let load = self.load(now);
        let fewest = FEWEST.div_ceil(domains.len().max(1));
        let mut named = Vec::new();
        for mut entries in domains.into_values() {
            entries.sort_by_key(|entry| xxh3_64(entry.id.as_bytes()));
            let mut carried = 0.0;
            let is_needed = |(place, entry): &(usize, &Entry)| {
                let wanted = *place < fewest || carried < part;
                carried += entry.room.share(load);
                wanted
            };
            let needed = entries.into_iter().enumerate().take_while(is_needed);
            named.extend(needed.map(|(_, entry)| entry));
        }
        named
    }

    /// What the entries are to be ready for.
    fn load(&self, now: Moment) -> Load {
        let mean = Load { bytes: self.bytes.mean(now), requests: self.rate.mean(now) };
        if self.rate.is_known(now) {
            return mean;
        }
        let requests = mean.requests.max(f64::from(self.slots) * PER_SLOT);
        Load { bytes: mean.bytes.max(requests * PER_REQUEST), requests }
    }

    /// Sets how many slots all upstreams have.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Entries that are thought to take callers.
    fn serving(&self, now: Moment) -> impl Iterator<Item = &Entry> {
        let own = self.attached.values().filter(move |own| now < own.heard + LOST);
        let hearsay = self.hearsay.values().filter(move |(at, ..)| now < *at + HEARSAY);
        let all = own.map(|own| &own.entry).chain(hearsay.map(|(_, entry, _)| entry));
        all.filter(|entry| entry.state == State::Serving)
    }

    /// The named entries, where they are others than those of the digest. Entries pass them on
    /// to callers, who would find nobody to ask while all controls are down.
    fn others_named(&self, now: Moment, known: u64) -> Option<Vec<Entry>> {
        let named: Vec<Entry> = self.named(now).into_iter().cloned().collect();
        let is_other = now >= WARM_UP && entry::digest(&named) != known;
        is_other.then_some(named)
    }

    fn news(
        &self,
        now: Moment,
        base: Index,
        sequence: u64,
        tallies: Tallies,
        ledger: &Ledger<'_>,
    ) -> News {
        let configuration = ledger.configuration.filter(|(_, since)| *since > base);
        News {
            base,
            configuration: configuration.map(|(version, _)| version.clone()),
            controls: ledger.controls.clone(),
            entries: self.named(now).len(),
            fresh: ledger.fresh,
            known: ledger.applied,
            named: None,
            sequence,
            serving: self.serving(now).count(),
            tallies,
            upstreams: ledger.catalog.since(base),
        }
    }

    fn push(&mut self, now: Moment, ledger: &Ledger<'_>, sends: &mut Vec<(NodeId, Message)>) {
        self.push_at = None;
        self.pushed_at = now;
        let due = |own: &&Attached| now < own.heard + LOST && own.known < ledger.applied;
        let behind: Vec<(NodeId, Index)> = self
            .attached
            .values()
            .filter(due)
            .map(|own| (own.entry.id.clone(), own.known))
            .collect();
        for (id, known) in behind {
            self.tell(now, &id, known, ledger, sends);
        }
    }

    /// Tells the other controls what callers received here, and at once the entries that
    /// have to know of a broken answer; the others hear of it with their next question.
    fn pass_on(&mut self, now: Moment, ledger: &Ledger<'_>, sends: &mut Vec<(NodeId, Message)>) {
        self.pass_at = None;
        self.passed_at = now;
        let collected = std::mem::take(&mut self.collected);
        if !collected.is_empty() {
            let others = ledger.controls.iter().map(|control| control.id.clone());
            sends.extend(others.map(|id| (id, Message::Tallies(collected.clone()))));
        }
        self.told = self.named(now).into_iter().map(|own| own.id.clone()).collect();
        let carries = |own: &Attached| own.carries(now) || self.told.contains(&own.entry.id);
        let due =
            |own: &&Attached| now < own.heard + LOST && own.tallies.is_urgent() && carries(own);
        let urgent: Vec<(NodeId, Index)> = self
            .attached
            .values()
            .filter(due)
            .map(|own| (own.entry.id.clone(), own.known))
            .collect();
        for (id, known) in urgent {
            self.tell(now, &id, known, ledger, sends);
        }
    }

    /// Tells an entry unasked what it is thought not to know.
    fn tell(
        &mut self,
        now: Moment,
        id: &NodeId,
        known: Index,
        ledger: &Ledger<'_>,
        sends: &mut Vec<(NodeId, Message)>,
    ) {
        let Some(own) = self.attached.get_mut(id) else { return };
        own.known = known.max(ledger.applied);
        let tallies = std::mem::take(&mut own.tallies);
        let news = self.news(now, known, 0, tallies, ledger);
        sends.push((id.clone(), Message::News(Box::new(news))));
    }
}
