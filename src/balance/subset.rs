//! The subset of upstreams that an entry uses.
//!
//! Rendezvous hashing: each entry ranks the upstreams of a failure domain by a hash of both names
//! and takes the first ones. When a member joins or leaves, only the entries that used it or now
//! get it change their subset.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::balance::load::Load;
use crate::id::DomainId;

/// Connections that one entry needs at one upstream: concurrent idempotent requests, and a fresh
/// connection for a non-idempotent one.
const CONNECTIONS_PER_ENTRY: f64 = 4.0;
/// Smallest subset: while one upstream is down and another full, a third serves.
const SUBSET_MIN: usize = 3;
/// Standard deviations allowed for uneven hashing. One upstream in thirty thousand gets more
/// entries than that.
const ENTRY_DEVIATIONS: f64 = 4.0;

/// Positions of the chosen upstreams in the list of loads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subset {
    pub(crate) positions: Vec<usize>,
}

impl Subset {
    /// Adds all usable upstreams in the entry's own failure domain.
    pub(crate) fn add_near(&mut self, loads: &[Load]) {
        let near = (0..loads.len()).filter(|at| loads[*at].is_near() && loads[*at].is_usable());
        self.positions.extend(near);
        self.positions.sort_unstable();
        self.positions.dedup();
    }

    /// Chooses a subset of `loads` and sets the connection cap of each of them.
    pub(crate) fn choose(loads: &mut [Load], entries: usize, subset_max: usize) -> Self {
        let size = Self::size(loads, entries, subset_max);
        let domains = Self::ranked(loads);
        let mut positions = Vec::new();
        for ranked in domains.values() {
            let usable = ranked.iter().filter(|position| loads[**position].is_usable()).count();
            let quota = Self::quota(size, ranked.len(), loads.len());
            let sharing_entries = Self::sharing_entries(entries, quota, ranked.len());
            let chosen = ranked.iter().filter(|position| loads[**position].is_usable());
            positions.extend(chosen.take(quota.min(usable)));
            for position in ranked {
                loads[*position].set_sharing_entries(sharing_entries);
            }
        }
        let wanted = size.min(loads.iter().filter(|load| load.is_usable()).count());
        Self::fill(&mut positions, loads, wanted);
        positions.sort_unstable();
        Self { positions }
    }

    /// Expected number of entries at the most used upstream of a domain.
    fn sharing_entries(entries: usize, quota: usize, members: usize) -> f64 {
        if quota >= members {
            return entries as f64;
        }
        let share = quota as f64 / members as f64;
        let mean = entries as f64 * share;
        let deviation = (mean * (1.0 - share)).sqrt();
        (mean + ENTRY_DEVIATIONS * deviation).min(entries as f64)
    }

    /// Adds upstreams of other domains if one can't fill its quota.
    fn fill(positions: &mut Vec<usize>, loads: &[Load], wanted: usize) {
        let missing = wanted.saturating_sub(positions.len());
        let mut others: Vec<usize> = (0..loads.len())
            .filter(|position| loads[*position].is_usable() && !positions.contains(position))
            .collect();
        others.sort_by_key(|position| loads[*position].rank());
        positions.extend(others.into_iter().take(missing));
    }

    /// Upstreams to take from a domain: in proportion to its members, and at least one.
    fn quota(size: usize, members: usize, all: usize) -> usize {
        let share = size as f64 * members as f64 / all.max(1) as f64;
        (share.round() as usize).clamp(1, members)
    }

    fn ranked(loads: &[Load]) -> BTreeMap<DomainId, Vec<usize>> {
        let mut domains: BTreeMap<DomainId, Vec<usize>> = BTreeMap::new();
        for (position, load) in loads.iter().enumerate() {
            domains.entry(load.domain().clone()).or_default().push(position);
        }
        for ranked in domains.values_mut() {
            ranked.sort_by_key(|position| loads[*position].rank());
        }
        domains
    }

    fn size(loads: &[Load], entries: usize, subset_max: usize) -> usize {
        let all = loads.len();
        let connections = loads.iter().map(Load::connections).min().unwrap_or(0);
        let entries_per_upstream = f64::from(connections) / CONNECTIONS_PER_ENTRY;
        let share = entries_per_upstream / entries.max(1) as f64;
        let size = (all as f64 * share) as usize;
        size.clamp(SUBSET_MIN, subset_max.max(SUBSET_MIN)).min(all)
    }
}

/// Rank of an upstream for an entry; the lowest comes first.
pub(crate) fn rank(entry: &str, upstream: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(entry.as_bytes());
    hasher.update(&[0]);
    hasher.update(upstream.as_bytes());
    hasher.digest()
}
