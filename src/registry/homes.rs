//! Which entry keeps an upstream's lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Entry;

/// How long a suspected home still vouches. Meanwhile its upstreams are probed; without
/// this they would be out of use until the first probes are answered.
const GRACE: Duration = Duration::from_secs(1);

/// Live entries, from which rendezvous hashing picks a home.
#[derive(Debug, Default)]
pub(crate) struct Homes {
    suspected: BTreeMap<NodeId, Moment>,
    entries: BTreeMap<NodeId, (u64, Entry)>,
}

impl Homes {
    /// Replaces the entries; tells which came and which went.
    pub(crate) fn replace(
        &mut self,
        now: Moment,
        entries: Vec<Entry>,
    ) -> (Vec<NodeId>, Vec<NodeId>) {
        let place = |entry: Entry| (entry.id.clone(), (xxh3_64(entry.id.as_bytes()), entry));
        let fresh: BTreeMap<NodeId, (u64, Entry)> = entries.into_iter().map(place).collect();
        let before = eligible(&self.entries);
        let after = eligible(&fresh);
        self.entries = fresh;
        let suspects = self.entries.iter().filter(|(_, (_, entry))| entry.suspect);
        let since = |id: &NodeId| self.suspected.get(id).copied().unwrap_or(now);
        self.suspected = suspects.map(|(id, _)| (id.clone(), since(id))).collect();
        let came = after.difference(&before).cloned().collect();
        (came, before.difference(&after).cloned().collect())
    }

    /// Home of an upstream: the entry with the highest score. When an entry goes,
    /// only its own upstreams move, evenly to all others.
    pub(crate) fn pick(&self, upstream: &str) -> Option<NodeId> {
        let score = |hash: u64| xxh3_64_with_seed(upstream.as_bytes(), hash);
        let eligible = self.entries.iter().filter(|(_, (_, entry))| entry.home);
        let best = eligible.max_by_key(|(_, (hash, _))| score(*hash));
        best.map(|(id, _)| id.clone())
    }

    /// Home of an upstream whose home was `home` before `came` came.
    pub(crate) fn prefer(&self, upstream: &str, home: &NodeId, came: &[NodeId]) -> Option<NodeId> {
        let score = |id: &NodeId| {
            let (hash, _) = self.entries.get(id)?;
            Some((xxh3_64_with_seed(upstream.as_bytes(), *hash), id.clone()))
        };
        let best = came.iter().chain([home]).filter_map(score).max();
        best.map(|(_, id)| id)
    }

    pub(crate) fn address(&self, id: &NodeId) -> Option<SocketAddr> {
        self.entries.get(id).map(|(_, entry)| entry.address)
    }

    /// Whether an entry is alive and not suspected.
    pub(crate) fn is_sound(&self, id: &NodeId) -> bool {
        self.entries.get(id).is_some_and(|(_, entry)| !entry.suspect)
    }

    /// Whether an entry is alive and not suspected for longer than [`GRACE`].
    pub(crate) fn vouches(&self, now: Moment, id: &NodeId) -> bool {
        let fresh = self.suspected.get(id).is_some_and(|since| now < *since + GRACE);
        self.is_sound(id) || fresh
    }

    /// Whether no entry is suspected.
    pub(crate) fn are_sound(&self) -> bool {
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
