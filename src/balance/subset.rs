//! Which upstreams an entry uses at all.
//!
//! Rendezvous hashing: each entry ranks the upstreams of a failure domain by a
//! hash of both names and takes the first ones. A member that comes or goes
//! moves only the entries that had it or now get it.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::balance::load::Load;
use crate::id::DomainId;

/// Connections that one entry wants at one upstream: concurrent lookups, and a
/// fresh one for a non-idempotent request.
const WANTED: f64 = 4.0;
/// Fewest upstreams an entry uses: one is down, one is full, one serves.
const FEWEST: usize = 3;
/// Standard deviations of room for uneven hashing: one upstream in thirty
/// thousand gets more entries than that.
const UNEVEN: f64 = 4.0;

/// Upstreams chosen, as positions, and how many connections each allows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Subset {
    pub(crate) positions: Vec<usize>,
}

impl Subset {
    /// Adds all upstreams in the entry's own failure domain.
    pub(crate) fn add_near(&mut self, loads: &[Load]) {
        let near = (0..loads.len()).filter(|at| loads[*at].is_near() && loads[*at].is_usable());
        self.positions.extend(near);
        self.positions.sort_unstable();
        self.positions.dedup();
    }

    /// Chooses among `loads` and sets the connection cap of all of them.
    pub(crate) fn choose(loads: &mut [Load], entries: usize, most: usize) -> Self {
        let size = Self::size(loads, entries, most);
        let domains = Self::ranked(loads);
        let mut positions = Vec::new();
        for ranked in domains.values() {
            let usable = ranked.iter().filter(|position| loads[**position].is_usable()).count();
            let quota = Self::quota(size, ranked.len(), loads.len());
            let crowd = Self::crowd(entries, quota, ranked.len());
            let chosen = ranked.iter().filter(|position| loads[**position].is_usable());
            positions.extend(chosen.take(quota.min(usable)));
            for position in ranked {
                loads[*position].set_crowd(crowd);
            }
        }
        let wanted = size.min(loads.iter().filter(|load| load.is_usable()).count());
        Self::fill(&mut positions, loads, wanted);
        positions.sort_unstable();
        Self { positions }
    }

    /// Entries expected at the fullest upstream of a domain.
    fn crowd(entries: usize, quota: usize, members: usize) -> f64 {
        if quota >= members {
            return entries as f64;
        }
        let share = quota as f64 / members as f64;
        let mean = entries as f64 * share;
        let deviation = (mean * (1.0 - share)).sqrt();
        (mean + UNEVEN * deviation).min(entries as f64)
    }

    /// Fills up from other domains when one can't give its quota.
    fn fill(positions: &mut Vec<usize>, loads: &[Load], wanted: usize) {
        let missing = wanted.saturating_sub(positions.len());
        let mut others: Vec<usize> = (0..loads.len())
            .filter(|position| loads[*position].is_usable() && !positions.contains(position))
            .collect();
        others.sort_by_key(|position| loads[*position].rank());
        positions.extend(others.into_iter().take(missing));
    }

    /// Upstreams that a domain gives: in proportion, and at least one.
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

    fn size(loads: &[Load], entries: usize, most: usize) -> usize {
        let all = loads.len();
        let connections = loads.iter().map(Load::connections).min().unwrap_or(0);
        let per_upstream = f64::from(connections) / WANTED;
        let share = per_upstream / entries.max(1) as f64;
        let size = (all as f64 * share) as usize;
        size.clamp(FEWEST, most.max(FEWEST)).min(all)
    }
}

/// Rank of an upstream for an entry; lower comes first.
pub(crate) fn rank(entry: &str, upstream: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(entry.as_bytes());
    hasher.update(&[0]);
    hasher.update(upstream.as_bytes());
    hasher.digest()
}
