//! Control's side of the feed: answers polls, pushes changes and selects advertised entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Control;
use super::Entry;
use super::Load;
use super::Message;
use super::Poll;
use super::Rate;
use super::Report;
use super::Tallies;
use super::Update;
use super::entry;
use super::subscription::Subscription;
use super::transfer::Archive;
use super::transfer::Offer;
use super::transfer::Part;
use super::transfer::Request;
use crate::catalog::Catalog;
use crate::clock::Moment;
use crate::config::Version;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::Index;
use crate::id::NodeId;

/// How long an entry without a poll is still listed: two polls and a lost one. Callers would
/// try a dead entry in vain.
const POLL_EXPIRY: Duration = Duration::from_millis(1600);
/// How long an entry reported by another control is listed without a new report.
const REPORT_EXPIRY: Duration = Duration::from_secs(4);
/// Shortest interval between two pushes. When changes are frequent, several of them share one
/// push.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before urgent tallies are forwarded. A fault that begins under load breaks several
/// answers within this time.
const URGENT_DELAY: Duration = Duration::from_millis(15);
/// Shortest interval between two rounds of urgent tallies. With hundreds of upstreams, some break
/// an answer at any moment, and each round wakes every entry that gets requests. An upstream that
/// gets one or two requests per second loses hardly one more in this time.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before all other tallies are forwarded to the other controls in one batch.
const FORWARD_DELAY: Duration = Duration::from_millis(500);

/// Changes to upstreams in one update. With all changes in one, a table of thousands
/// of upstreams takes longer on a narrow link than an entry waits for an answer, and the next
/// control sends it again.
const MAX_UPSTREAMS: usize = 128;

/// Time after its start in which a control sends no list of advertised entries. It has not been
/// polled by all entries yet, and all callers would connect to the few that it knows.
pub const WARM_UP: Duration = Duration::from_millis(1500);
/// Fewest entries that are advertised to callers, spread over the failure domains. When one of
/// them is lost, two others take over its work. If one entry in each of three domains can
/// carry the load, each sees twice as many answers of the upstreams as with two in each, and
/// learns sooner which upstreams are busy.
const MIN_ENTRIES: usize = 3;
/// Requests per second assumed for each slot of the upstreams until the load is known; 0.5 to 1.2
/// are usual. Without the assumption, all callers of a large fleet would start at the fewest
/// entries, which are overloaded before they can report it.
const REQUESTS_PER_SLOT: f64 = 1.0;
/// Bytes assumed for a request and its answer until the load is known: one upload of 60 KB among
/// a dozen requests of a few hundred bytes.
const BYTES_PER_REQUEST: f64 = 6_000.0;

/// Committed state of a control, from which updates are made.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// Log index up to which all commands are applied.
    pub applied: Index,
    /// Table of upstreams.
    pub catalog: &'a Catalog,
    /// All controls.
    pub controls: Vec<Control>,
    /// Whether the control has heard from a leader recently.
    pub fresh: bool,
}

/// Control's side of the feed.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    archive: Archive,
    subscriptions: BTreeMap<NodeId, Subscription>,
    byte_rate: Rate,
    unforwarded: Tallies,
    has_changed_entries: bool,
    reported: BTreeMap<NodeId, (Moment, Entry, NodeId)>,
    forwarded_at: Moment,
    forward_at: Option<Moment>,
    push_at: Option<Moment>,
    pushed_at: Moment,
    request_rate: Rate,
    slots: u32,
    /// Entries that were advertised when tallies were last forwarded.
    last_advertised: BTreeSet<NodeId>,
}

impl Publisher {
    /// Answers a poll of an entry.
    pub fn poll(
        &mut self,
        now: Moment,
        poll: Poll,
        snapshot: &Snapshot<'_>,
    ) -> Vec<(NodeId, Message)> {
        let id = poll.entry.id.clone();
        let before = self.subscriptions.get(&id).map(|subscription| subscription.entry.state);
        if before != Some(poll.entry.state) {
            self.has_changed_entries = true;
        }
        self.reported.remove(&id);
        let before = self.subscriptions.remove(&id);
        self.add_tallies(now, &poll.tallies, true);
        let requested_at = (poll.tallies.arrivals > 0).then_some(now);
        let last_request_at =
            requested_at.or(before.as_ref().and_then(|before| before.last_request_at));
        let tallies = before.map(|before| before.tallies).unwrap_or_default();
        let subscription = Subscription {
            configuration: poll.configuration,
            is_downloading: poll.is_downloading,
            last_request_at,
            entry: poll.entry,
            last_poll_at: now,
            known: poll.known,
            tallies: Tallies::default(),
        };
        self.subscriptions.insert(id.clone(), subscription);
        let mut update = self.update(now, poll.known, poll.sequence, tallies, snapshot);
        self.note_known(&id, update.known);
        update.configuration = self.offer_to(&id);
        update.named = self.changed_advertised(now, poll.named);
        vec![(id, Message::News(Box::new(update)))]
    }

    /// Sets the configuration in force.
    pub fn set_configuration(&mut self, version: &Version) {
        self.archive.add(version);
    }

    /// Answers an entry's request for a part of a change.
    pub fn part(&mut self, request: &Request) -> Part {
        self.archive.part(request)
    }

    /// Replaces the entries that another control reports.
    pub fn merge_report(&mut self, now: Moment, from: &NodeId, ready: Report) {
        self.reported.retain(|_, (_, _, by)| by != from);
        for entry in ready.entries {
            let subscription = self.subscriptions.get(&entry.id);
            if subscription
                .is_none_or(|subscription| now >= subscription.last_poll_at + POLL_EXPIRY)
            {
                self.reported.insert(entry.id.clone(), (now, entry, from.clone()));
            }
        }
    }

    /// Adds tallies. `is_local` says that an entry which polls this control reported them.
    pub fn add_tallies(&mut self, now: Moment, tallies: &Tallies, is_local: bool) {
        if tallies.is_empty() {
            return;
        }
        self.request_rate.add(now, u64::from(tallies.arrivals));
        self.byte_rate.add(now, tallies.bytes);
        let urgent = tallies.urgent();
        for subscription in self.subscriptions.values_mut() {
            let is_active = subscription.is_active(now)
                || self.last_advertised.contains(&subscription.entry.id);
            subscription.tallies.add_all(if is_active { tallies } else { &urgent });
        }
        if is_local {
            self.unforwarded.add_all(tallies);
        }
        let at = match tallies.is_urgent() {
            true => (now + URGENT_DELAY).max(self.forwarded_at + MIN_URGENT_INTERVAL),
            false => now + FORWARD_DELAY,
        };
        self.forward_at = Some(self.forward_at.map_or(at, |other| other.min(at)));
    }

    /// Schedules a push of committed changes.
    pub fn schedule_push(&mut self, now: Moment) {
        let at = now.max(self.pushed_at + MIN_PUSH_INTERVAL);
        self.push_at = Some(self.push_at.map_or(at, |other| other.min(at)));
    }

    /// Returns the pushes and forwarded tallies that are due.
    pub fn tick(&mut self, now: Moment, snapshot: &Snapshot<'_>) -> Vec<(NodeId, Message)> {
        let mut sends = Vec::new();
        if self.push_at.is_some_and(|at| at <= now) {
            self.push(now, snapshot, &mut sends);
        }
        if self.forward_at.is_some_and(|at| at <= now) {
            self.forward_tallies(now, snapshot, &mut sends);
        }
        sends
    }

    /// When the next call of [`Publisher::tick`] is due.
    pub fn wake(&self) -> Moment {
        self.push_at.into_iter().chain(self.forward_at).min().unwrap_or(Moment::MAX)
    }

    /// Whether an entry joined or changed its state since the last call of [`Publisher::report`].
    pub fn has_changed_entries(&self) -> bool {
        self.has_changed_entries
    }

    /// Returns the entries that poll this control, as a report to the other controls.
    pub fn report(&mut self, now: Moment) -> Vec<Entry> {
        self.has_changed_entries = false;
        self.subscriptions.retain(|_, subscription| now < subscription.last_poll_at + POLL_EXPIRY);
        self.reported.retain(|_, (at, ..)| now < *at + REPORT_EXPIRY);
        self.subscriptions.values().map(|subscription| subscription.entry.clone()).collect()
    }

    /// Returns the entries to advertise to callers, a few in each failure domain. With callers
    /// spread over all of a large fleet, each entry would get one request every 0.3 s: too few
    /// to see which upstreams are busy, to keep connections open, or to earn retry budget.
    pub fn advertised(&self, now: Moment) -> Vec<&Entry> {
        let mut domains: BTreeMap<&DomainId, Vec<&Entry>> = BTreeMap::new();
        for entry in self.serving(now) {
            domains.entry(&entry.domain).or_default().push(entry);
        }
        let share = 1.0 / domains.len().max(1) as f64;
        let load = self.load(now);
        let min_entries = MIN_ENTRIES.div_ceil(domains.len().max(1));
        let mut advertised = Vec::new();
        for mut entries in domains.into_values() {
            entries.sort_by_key(|entry| xxh3_64(entry.id.as_bytes()));
            let mut capacity = 0.0;
            let is_needed = |(position, entry): &(usize, &Entry)| {
                let is_needed = *position < min_entries || capacity < share;
                capacity += entry.room.share(load);
                is_needed
            };
            let needed = entries.into_iter().enumerate().take_while(is_needed);
            advertised.extend(needed.map(|(_, entry)| entry));
        }
        advertised
    }

    /// Returns the load that the advertised entries must be able to carry.
    fn load(&self, now: Moment) -> Load {
        let mean = Load { bytes: self.byte_rate.mean(now), requests: self.request_rate.mean(now) };
        if self.request_rate.is_known(now) {
            return mean;
        }
        let requests = mean.requests.max(f64::from(self.slots) * REQUESTS_PER_SLOT);
        Load { bytes: mean.bytes.max(requests * BYTES_PER_REQUEST), requests }
    }

    /// Sets the number of slots of all upstreams.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the entries that accept callers.
    fn serving(&self, now: Moment) -> impl Iterator<Item = &Entry> {
        let own = self
            .subscriptions
            .values()
            .filter(move |subscription| now < subscription.last_poll_at + POLL_EXPIRY);
        let reported = self.reported.values().filter(move |(at, ..)| now < *at + REPORT_EXPIRY);
        let all =
            own.map(|subscription| &subscription.entry).chain(reported.map(|(_, entry, _)| entry));
        all.filter(|entry| entry.state == State::Serving)
    }

    /// Returns the advertised entries if they differ from those with the digest `known`. Entries
    /// relay the list to callers, who could not get it while all controls are down.
    fn changed_advertised(&self, now: Moment, known: u64) -> Option<Vec<Entry>> {
        let advertised: Vec<Entry> = self.advertised(now).into_iter().cloned().collect();
        let is_different = now >= WARM_UP && entry::digest(&advertised) != known;
        is_different.then_some(advertised)
    }

    /// Records that an entry is sent all changes to upstreams up to this index.
    fn note_known(&mut self, id: &NodeId, known: Index) {
        if let Some(subscription) = self.subscriptions.get_mut(id) {
            subscription.known = subscription.known.max(known);
        }
    }

    /// Offers an entry the change from the version that it holds to the one in force, unless it is
    /// receiving a change.
    fn offer_to(&mut self, id: &NodeId) -> Option<Offer> {
        let subscription = self.subscriptions.get_mut(id)?;
        if subscription.is_downloading {
            return None;
        }
        let offer = self.archive.change_since(subscription.configuration)?.offer();
        subscription.note_offer(&offer);
        Some(offer)
    }

    fn update(
        &self,
        now: Moment,
        base: Index,
        sequence: u64,
        tallies: Tallies,
        snapshot: &Snapshot<'_>,
    ) -> Update {
        let (upstreams, end) = snapshot.catalog.page(base, MAX_UPSTREAMS);
        Update {
            base,
            configuration: None,
            controls: snapshot.controls.clone(),
            entries: self.advertised(now).len(),
            fresh: snapshot.fresh,
            has_more: end.is_some(),
            known: end.unwrap_or(snapshot.applied),
            named: None,
            sequence,
            serving: self.serving(now).count(),
            tallies,
            upstreams,
        }
    }

    fn push(&mut self, now: Moment, snapshot: &Snapshot<'_>, sends: &mut Vec<(NodeId, Message)>) {
        self.push_at = None;
        self.pushed_at = now;
        let due = |subscription: &&Subscription| {
            now < subscription.last_poll_at + POLL_EXPIRY && subscription.known < snapshot.applied
        };
        let outdated: Vec<(NodeId, Index)> = self
            .subscriptions
            .values()
            .filter(due)
            .map(|subscription| (subscription.entry.id.clone(), subscription.known))
            .collect();
        for (id, known) in outdated {
            self.push_to(now, &id, known, snapshot, sends);
        }
    }

    /// Forwards tallies to the other controls, and pushes urgent ones to the entries that get
    /// requests. The other entries get them with their next poll.
    fn forward_tallies(
        &mut self,
        now: Moment,
        snapshot: &Snapshot<'_>,
        sends: &mut Vec<(NodeId, Message)>,
    ) {
        self.forward_at = None;
        self.forwarded_at = now;
        let batch = std::mem::take(&mut self.unforwarded);
        if !batch.is_empty() {
            let others = snapshot.controls.iter().map(|control| control.id.clone());
            sends.extend(others.map(|id| (id, Message::Tallies(batch.clone()))));
        }
        self.last_advertised =
            self.advertised(now).into_iter().map(|entry| entry.id.clone()).collect();
        let is_active = |subscription: &Subscription| {
            subscription.is_active(now) || self.last_advertised.contains(&subscription.entry.id)
        };
        let due = |subscription: &&Subscription| {
            now < subscription.last_poll_at + POLL_EXPIRY
                && subscription.tallies.is_urgent()
                && is_active(subscription)
        };
        let urgent: Vec<(NodeId, Index)> = self
            .subscriptions
            .values()
            .filter(due)
            .map(|subscription| (subscription.entry.id.clone(), subscription.known))
            .collect();
        for (id, known) in urgent {
            self.push_to(now, &id, known, snapshot, sends);
        }
    }

    /// Pushes an update with all changes after `known` to an entry.
    fn push_to(
        &mut self,
        now: Moment,
        id: &NodeId,
        known: Index,
        snapshot: &Snapshot<'_>,
        sends: &mut Vec<(NodeId, Message)>,
    ) {
        let Some(subscription) = self.subscriptions.get_mut(id) else { return };
        let tallies = std::mem::take(&mut subscription.tallies);
        let mut update = self.update(now, known, 0, tallies, snapshot);
        self.note_known(id, update.known);
        update.configuration = self.offer_to(id);
        sends.push((id.clone(), Message::News(Box::new(update))));
    }
}
