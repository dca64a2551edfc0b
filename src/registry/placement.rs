//! Selection of the home entry of each upstream, which tracks its lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Entry;

/// How long a suspected home is still trusted. Its upstreams are probed meanwhile. Without
/// the grace period they would be unusable until the first probes are answered.
const SUSPECT_GRACE: Duration = Duration::from_secs(1);

/// Live entries and their rendezvous hashing.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    suspected_at: BTreeMap<NodeId, Moment>,
    entries: BTreeMap<NodeId, (u64, Entry)>,
}

impl Placement {
    /// Replaces the entries. Returns the homes that were added and those that were removed.
    pub(crate) fn replace(
        &mut self,
        now: Moment,
        entries: Vec<Entry>,
    ) -> (Vec<NodeId>, Vec<NodeId>) {
        let with_hash = |entry: Entry| (entry.id.clone(), (xxh3_64(entry.id.as_bytes()), entry));
        let current: BTreeMap<NodeId, (u64, Entry)> = entries.into_iter().map(with_hash).collect();
        let before = eligible(&self.entries);
        let after = eligible(&current);
        self.entries = current;
        let suspects = self.entries.iter().filter(|(_, (_, entry))| entry.suspect);
        let since = |id: &NodeId| self.suspected_at.get(id).copied().unwrap_or(now);
        self.suspected_at = suspects.map(|(id, _)| (id.clone(), since(id))).collect();
        let added = after.difference(&before).cloned().collect();
        (added, before.difference(&after).cloned().collect())
    }

    /// Returns the home of an upstream, the entry with the highest score. When an entry leaves,
    /// only its own upstreams move, evenly to all others.
    pub(crate) fn pick(&self, upstream: &str) -> Option<NodeId> {
        let score = |hash: u64| xxh3_64_with_seed(upstream.as_bytes(), hash);
        let eligible = self.entries.iter().filter(|(_, (_, entry))| entry.home);
        let best = eligible.max_by_key(|(_, (hash, _))| score(*hash));
        best.map(|(id, _)| id.clone())
    }

    /// Returns the home of an upstream that had `home` before the entries `added` joined.
    pub(crate) fn prefer(&self, upstream: &str, home: &NodeId, added: &[NodeId]) -> Option<NodeId> {
        let score = |id: &NodeId| {
            let (hash, _) = self.entries.get(id)?;
            Some((xxh3_64_with_seed(upstream.as_bytes(), *hash), id.clone()))
        };
        let best = added.iter().chain([home]).filter_map(score).max();
        best.map(|(_, id)| id)
    }

    pub(crate) fn address(&self, id: &NodeId) -> Option<SocketAddr> {
        self.entries.get(id).map(|(_, entry)| entry.address)
    }

    /// Whether an entry is alive and not suspected.
    pub(crate) fn is_unsuspected(&self, id: &NodeId) -> bool {
        self.entries.get(id).is_some_and(|(_, entry)| !entry.suspect)
    }

    /// Whether an entry is alive and has not been suspected for longer than [`SUSPECT_GRACE`].
    pub(crate) fn is_trusted(&self, now: Moment, id: &NodeId) -> bool {
        let is_recent = self.suspected_at.get(id).is_some_and(|since| now < *since + SUSPECT_GRACE);
        self.is_unsuspected(id) || is_recent
    }

    /// Whether no entry is suspected.
    pub(crate) fn has_no_suspects(&self) -> bool {
        self.entries.values().all(|(_, entry)| !entry.suspect)
    }

    pub(crate) fn neighbours(&self) -> impl Iterator<Item = &NodeId> {
        let linked = self.entries.iter().filter(|(_, (_, entry))| entry.neighbour);
        linked.map(|(id, _)| id)
    }
}

fn eligible(entries: &BTreeMap<NodeId, (u64, Entry)>) -> BTreeSet<NodeId> {
    entries.iter().filter(|(_, (_, entry))| entry.home).map(|(id, _)| id.clone()).collect()
}
