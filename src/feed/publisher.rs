//! Control's side of the feed: answers polls, pushes changes and selects advertised entries.

mod push;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Control;
use super::Entry;
use super::Load;
use super::Message;
use super::Poll;
use super::Rate;
use super::Report;
use super::Roster;
use super::Tallies;
use super::Update;
use super::entry;
use super::position::Position;
use super::reports::Effect;
use super::reports::Reports;
use super::subscription::Subscription;
use super::transfer::Archive;
use super::transfer::Offer;
use super::transfer::Part;
use super::transfer::Request;
use crate::catalog::Catalog;
use crate::clock::Moment;
use crate::config::Version;
use crate::id::Index;
use crate::id::NodeId;
use crate::poison;
use crate::registry::Announcement;

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
    poison: poison::Ledger,
    /// Digest of the entries in the last report.
    reported_digest: u64,
    reports: Reports,
    roster: Roster,
    forwarded_at: Moment,
    forward_at: Option<Moment>,
    push_at: Option<Moment>,
    pushed_at: Moment,
    request_rate: Rate,
    slots: u64,
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
        let before = self.subscriptions.get(&id).filter(|before| !before.is_expired(now));
        if before.is_none_or(|before| before.entry != poll.entry) {
            self.has_changed_entries = true;
            self.roster.expire();
            if before.is_some_and(|before| before.entry.reach != poll.entry.reach) {
                self.schedule_push(now);
            }
        }
        let before = self.subscriptions.remove(&id);
        self.add_tallies(now, &poll.tallies, true);
        let requested_at = (poll.tallies.arrivals > 0).then_some(now);
        let last_request_at =
            requested_at.or(before.as_ref().and_then(|before| before.last_request_at));
        let tallies = before.map(|before| before.tallies).unwrap_or_default();
        let position = Position::of(&poll, snapshot);
        let (named, sequence) = (poll.named, poll.sequence);
        self.merge_quarantine(now, &poll.quarantine);
        let quarantine = self.poison.report(now, Some(poll.quarantine.digest));
        let subscription = Subscription {
            asked: BTreeSet::new(),
            configuration: poll.configuration,
            is_downloading: poll.is_downloading,
            is_loading: false,
            last_request_at,
            entry: poll.entry,
            last_poll_at: now,
            known: poll.known,
            selection: poll.selection,
            tallies: Tallies::default(),
        };
        self.subscriptions.insert(id.clone(), subscription);
        let mut update = self.update(now, &id, position, tallies, snapshot);
        update.sequence = sequence;
        self.note_sent(&id, &update);
        update.configuration = self.offer_to(&id);
        update.named = self.changed_advertised(now, named);
        update.quarantine = quarantine;
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

    /// Records the entries that another control reports. Returns `false` if it has to send them
    /// whole.
    pub fn record_report(&mut self, now: Moment, from: &NodeId, report: Report) -> bool {
        let effect = self.reports.record(now, from, report);
        if effect == Effect::Changed {
            self.roster.expire();
            self.schedule_push(now);
        }
        effect != Effect::Unknown
    }

    /// Digest of the quarantines that this control knows.
    pub fn quarantine_digest(&self) -> u64 {
        self.poison.digest()
    }

    /// The quarantines, for another control whose own ones have the digest `known`; `None` if it has nothing
    /// to learn.
    pub fn quarantine_for(&self, now: Moment, known: u64) -> Option<poison::Report> {
        let report = self.poison.report(now, Some(known));
        report.quarantines.as_ref().is_some_and(|all| !all.is_empty()).then_some(report)
    }

    /// Adds quarantines that another control tells of.
    pub fn merge_quarantine(&mut self, now: Moment, report: &poison::Report) {
        self.poison.advance(now);
        self.poison.merge(now, report);
    }

    /// Adds tallies. `is_local` says that an entry which polls this control reported them.
    pub fn add_tallies(&mut self, now: Moment, tallies: &Tallies, is_local: bool) {
        if tallies.is_empty() {
            return;
        }
        self.poison.record(now, &tallies.poison);
        self.request_rate.add(now, u64::from(tallies.arrivals));
        self.byte_rate.add(now, tallies.bytes);
        let urgent = tallies.urgent();
        for subscription in self.subscriptions.values_mut() {
            let is_active = subscription.is_active(now)
                || self.roster.advertised_ids.contains(&subscription.entry.id);
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
    pub fn report(&mut self, now: Moment) -> Report {
        self.has_changed_entries = false;
        self.subscriptions.retain(|_, subscription| !subscription.is_expired(now));
        self.reports.expire(now);
        let Report { digest, entries } = self.whole_report();
        let is_changed = digest != self.reported_digest;
        self.reported_digest = digest;
        Report { digest, entries: entries.filter(|_| is_changed) }
    }

    /// Returns a report for a control that has none.
    pub fn whole_report(&self) -> Report {
        let entries = self.subscriptions.values().map(|subscription| subscription.entry.clone());
        let entries: Vec<Entry> = entries.collect();
        Report { digest: entry::digest(&entries), entries: Some(entries) }
    }

    /// Entries that accept callers, and those of them to advertise.
    pub fn roster(&mut self, now: Moment) -> &Roster {
        if self.roster.is_stale(now) {
            let is_settled = self.request_rate.is_known(now);
            let before = &self.roster.advertised_ids;
            self.roster = Roster::new(now, self.entries(now), self.load(now), is_settled, before);
        }
        &self.roster
    }

    /// Returns the load that the advertised entries must be able to carry.
    fn load(&self, now: Moment) -> Load {
        let mean = Load { bytes: self.byte_rate.mean(now), requests: self.request_rate.mean(now) };
        if self.request_rate.is_known(now) {
            return mean;
        }
        let assumed = self.slots as f64 * REQUESTS_PER_SLOT;
        let assumed = self.request_rate.bound(now).map_or(assumed, |bound| assumed.min(bound));
        let requests = mean.requests.max(assumed);
        Load { bytes: mean.bytes.max(requests * BYTES_PER_REQUEST), requests }
    }

    /// Sets the number of slots of all upstreams.
    pub fn set_slots(&mut self, slots: u64) {
        if self.slots != slots {
            self.slots = slots;
            self.roster.expire();
        }
    }

    /// Entries that poll this control, and those that others report.
    fn entries(&self, now: Moment) -> impl Iterator<Item = &Entry> {
        let is_own = move |id: &NodeId| {
            self.subscriptions.get(id).is_some_and(|subscription| !subscription.is_expired(now))
        };
        let own = self.subscriptions.values().filter(move |own| !own.is_expired(now));
        let reported = self.reports.entries(now).filter(move |entry| !is_own(&entry.id));
        own.map(|subscription| &subscription.entry).chain(reported)
    }

    /// Returns the advertised entries if they differ from those with the digest `known`. Entries
    /// relay the list to callers, who could not get it while all controls are down.
    fn changed_advertised(&mut self, now: Moment, known: u64) -> Option<Vec<Entry>> {
        let roster = self.roster(now);
        let is_different = now >= WARM_UP && roster.digest != known;
        is_different.then(|| roster.advertised.clone())
    }

    /// Records what an entry is sent.
    fn note_sent(&mut self, id: &NodeId, update: &Update) {
        let Some(subscription) = self.subscriptions.get_mut(id) else { return };
        subscription.asked.clone_from(&update.doubted);
        subscription.is_loading |= update.has_more;
        if let Some(selection) = &update.follow {
            subscription.selection = selection.clone();
        }
        if update.is_load {
            subscription.known = update.known;
        }
        subscription.known = subscription.known.max(update.known);
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
        &mut self,
        now: Moment,
        id: &NodeId,
        position: Position,
        tallies: Tallies,
        snapshot: &Snapshot<'_>,
    ) -> Update {
        let Position { base, domain, follow, is_load, removals_from, selection } = position;
        let follows = |announced: &Announcement| selection.includes(id, &domain, announced);
        let catalog = snapshot.catalog;
        let roster = self.roster(now);
        let doubted = roster.doubted(id).cloned().unwrap_or_default();
        let (upstreams, end) = catalog.page(base, removals_from, MAX_UPSTREAMS, follows);
        Update {
            applied: snapshot.applied,
            base,
            configuration: None,
            controls: snapshot.controls.clone(),
            doubted,
            entries: roster.advertised.len(),
            fresh: snapshot.fresh,
            follow,
            has_more: end.is_some(),
            is_load,
            is_settled: roster.is_settled,
            known: end.unwrap_or(snapshot.applied),
            named: None,
            quarantine: poison::Report::default(),
            selection: selection.digest(),
            sequence: 0,
            serving: roster.serving,
            tallies,
            upstreams,
        }
    }
}
