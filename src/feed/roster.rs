//! Entries that accept callers, and those of them that callers are told of.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::Entry;
use super::Load;
use super::entry;
use crate::clock::Moment;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;

/// How long a roster is used. What changes it besides joins and reports changes slowly: the load,
/// and entries that fall silent.
const LIFETIME: Duration = Duration::from_millis(100);
/// Fewest entries that are advertised to callers, spread over the failure domains. When one of
/// them is lost, two others take over its work. If one entry in each of three domains can
/// carry the load, each sees twice as many answers of the upstreams as with two in each, and
/// learns sooner which upstreams are busy.
const MIN_ENTRIES: usize = 3;

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
    /// Digest of the advertised entries.
    pub(super) digest: u64,
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
        let advertised: Vec<Entry> =
            choose(known.into_values(), load).into_iter().cloned().collect();
        Self {
            advertised_ids: advertised.iter().map(|entry| entry.id.clone()).collect(),
            digest: entry::digest(&advertised),
            advertised,
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

    /// Whether the roster must be made anew.
    pub(super) fn is_stale(&self, now: Moment) -> bool {
        now >= self.stale_at
    }

    /// Has the roster made anew when it is used next.
    pub(super) fn expire(&mut self) {
        self.stale_at = Moment::ZERO;
    }
}

/// Chooses a few entries in each failure domain. With callers spread over all of a large fleet,
/// each entry would get one request every 0.3 s: too few to see which upstreams are busy, to keep
/// connections open, or to earn retry budget.
fn choose<'a>(serving: impl Iterator<Item = &'a Entry>, load: Load) -> Vec<&'a Entry> {
    let mut domains: BTreeMap<&DomainId, Vec<&Entry>> = BTreeMap::new();
    for entry in serving {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let share = 1.0 / domains.len().max(1) as f64;
    let min_entries = MIN_ENTRIES.div_ceil(domains.len().max(1));
    let mut chosen = Vec::new();
    for mut entries in domains.into_values() {
        entries.sort_by_cached_key(|entry| xxh3_64(entry.id.as_bytes()));
        let mut capacity = 0.0;
        let is_needed = |(position, entry): &(usize, &Entry)| {
            let is_needed = *position < min_entries || capacity < share;
            capacity += entry.room.share(load);
            is_needed
        };
        let needed = entries.into_iter().take(MAX_DOMAIN_ENTRIES).enumerate();
        let needed = needed.take_while(is_needed);
        chosen.extend(needed.map(|(_, entry)| entry));
    }
    chosen
}
