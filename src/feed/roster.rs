//! Entries that accept callers, and those of them that callers are told of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Entry;
use super::Load;
use super::doubt::Doubt;
use super::entry;
use crate::clock::Moment;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;
use crate::id::ServiceId;

/// How long a roster is used. What changes it besides joins and reports changes slowly: the load,
/// and entries that fall silent.
const LIFETIME: Duration = Duration::from_millis(100);
/// Fewest entries that are advertised to callers, spread over the failure domains. When one of
/// them is lost, two others take over its work. If one entry in each of three domains can
/// carry the load, each sees twice as many answers of the upstreams as with two in each, and
/// learns sooner which upstreams are busy.
const MIN_ENTRIES: usize = 3;

/// Entries of each failure domain that are asked in advance whether they reach what others can't:
/// as many as are advertised in a small fleet.
const CANDIDATES: usize = 4;

/// Most entries that are advertised in one failure domain: a caller uses no more. Each change of
/// the list goes to all entries.
const MAX_DOMAIN_ENTRIES: usize = 64;

/// Entries that accept callers, and those of them that callers are told of.
///
/// It is kept between polls, as choosing passes over all entries of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub(super) advertised: Vec<Entry>,
    pub(super) advertised_ids: BTreeSet<NodeId>,
    /// Entries that are asked whether they reach the services that others can't.
    asked_ids: BTreeSet<NodeId>,
    /// Digest of the advertised entries.
    pub(super) digest: u64,
    /// Services that some entry can't reach.
    doubted: BTreeSet<ServiceId>,
    /// Whether the load is known, so that the advertised entries change little.
    pub(super) is_settled: bool,
    pub(super) serving: usize,
    stale_at: Moment,
}

impl Roster {
    /// Chooses the entries to advertise under `load`. An entry that is known in several states does
    /// not accept callers: it is starting or leaving.
    pub(super) fn new<'a>(
        now: Moment,
        entries: impl Iterator<Item = &'a Entry>,
        load: Load,
        is_settled: bool,
        before: &BTreeSet<NodeId>,
    ) -> Self {
        let mut known: BTreeMap<&NodeId, &Entry> = BTreeMap::new();
        for entry in entries {
            let kept = known.entry(&entry.id).or_insert(entry);
            if kept.state == State::Serving {
                *kept = entry;
            }
        }
        known.retain(|_, entry| entry.state == State::Serving);
        let serving = known.len();
        let serving_entries: Vec<&Entry> = known.into_values().collect();
        let doubt = Doubt::new(&serving_entries);
        let usable = doubt.usable(&serving_entries);
        let choice = Choice { before, doubt: &doubt, load };
        let advertised: Vec<Entry> = choice.advertised(&usable).into_iter().map(listed).collect();
        let advertised_ids: BTreeSet<NodeId> =
            advertised.iter().map(|entry| entry.id.clone()).collect();
        let asked = choice.candidates(&usable, &advertised_ids);
        let asked = asked.into_iter().map(|entry| entry.id.clone());
        Self {
            asked_ids: asked.chain(advertised_ids.iter().cloned()).collect(),
            advertised_ids,
            digest: entry::digest(&advertised),
            advertised,
            doubted: doubt.services,
            is_settled,
            serving,
            stale_at: now + LIFETIME,
        }
    }

    /// Entries to advertise to callers.
    pub fn advertised(&self) -> &[Entry] {
        &self.advertised
    }

    /// Digest of the entries to advertise.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether the load is known, so that the advertised entries change little.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Services that an entry is asked about: whether it reaches them tells whether those that do
    /// not are at fault themselves.
    pub(super) fn doubted(&self, id: &NodeId) -> Option<&BTreeSet<ServiceId>> {
        let is_asked = !self.doubted.is_empty() && self.asked_ids.contains(id);
        is_asked.then_some(&self.doubted)
    }

    /// Whether the roster must be made anew.
    pub(super) fn is_stale(&self, now: Moment) -> bool {
        now >= self.stale_at
    }

    /// Has the roster made anew when it is used next.
    pub(super) fn expire(&mut self) {
        self.stale_at = Moment::ZERO;
    }
}

/// Entry as callers and other entries are told of it. What it reaches concerns the controls alone;
/// with it, each change of that would send the list to all entries again.
fn listed(entry: &Entry) -> Entry {
    Entry { reach: BTreeMap::new(), ..entry.clone() }
}

/// What entries to advertise are chosen by.
struct Choice<'a> {
    /// Entries that were advertised before.
    before: &'a BTreeSet<NodeId>,
    doubt: &'a Doubt,
    load: Load,
}

impl Choice<'_> {
    /// Chooses a few entries in each failure domain. With callers spread over all of a large fleet,
    /// each entry would get one request every 0.3 s: too few to see which upstreams are busy, to
    /// keep connections open, or to earn retry budget.
    fn advertised<'a>(&self, usable: &[&'a Entry]) -> Vec<&'a Entry> {
        let domains = by_domain(self.trusted(usable));
        let share = 1.0 / domains.len().max(1) as f64;
        let min_entries = MIN_ENTRIES.div_ceil(domains.len().max(1));
        let mut chosen = Vec::new();
        for entries in domains.into_values() {
            let mut capacity = 0.0;
            let is_needed = |(position, entry): &(usize, &Entry)| {
                let is_needed = *position < min_entries || capacity < share;
                capacity += entry.room.share(self.load);
                is_needed
            };
            let needed = entries.into_iter().take(MAX_DOMAIN_ENTRIES).enumerate();
            let needed = needed.take_while(is_needed);
            chosen.extend(needed.map(|(_, entry)| entry));
        }
        chosen
    }

    /// Entries that may be advertised next, while something is in doubt.
    fn candidates<'a>(
        &self,
        usable: &[&'a Entry],
        advertised: &BTreeSet<NodeId>,
    ) -> Vec<&'a Entry> {
        if self.doubt.services.is_empty() {
            return Vec::new();
        }
        let others = usable.iter().copied().filter(|entry| !advertised.contains(&entry.id));
        let domains = by_domain(others.collect()).into_values();
        domains.flat_map(|entries| entries.into_iter().take(CANDIDATES)).collect()
    }

    /// Entries that were advertised before or have shown that they reach what others can't; all, if
    /// there are none or nothing is in doubt. The others may be cut off themselves.
    fn trusted<'a>(&self, usable: &[&'a Entry]) -> Vec<&'a Entry> {
        let is_trusted =
            |entry: &&&Entry| self.before.contains(&entry.id) || self.doubt.is_proven(entry);
        let trusted: Vec<&Entry> = usable.iter().filter(is_trusted).copied().collect();
        if trusted.is_empty() { usable.to_vec() } else { trusted }
    }
}

/// Entries of each failure domain in the order in which they are chosen.
fn by_domain(entries: Vec<&Entry>) -> BTreeMap<&DomainId, Vec<&Entry>> {
    let mut domains: BTreeMap<&DomainId, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    for entries in domains.values_mut() {
        entries.sort_by_cached_key(|entry| xxh3_64(entry.id.as_bytes()));
    }
    domains
}
