//! Hashed rings over the members, which determine who probes whom.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::NodeId;

/// Members in several pseudo-random circular orders.
///
/// Each member probes its successor on every ring. The union of the rings is an expander with high
/// probability, so updates reach 520 members in four or five hops. Each member has as many
/// observers as there are rings, regardless of the size of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Rings {
    rings: Vec<BTreeMap<(u64, NodeId), ()>>,
}

impl Rings {
    pub(crate) fn new(count: usize) -> Self {
        Self { rings: vec![BTreeMap::new(); count] }
    }

    pub(crate) fn contains(&self, id: &NodeId) -> bool {
        self.rings.first().is_some_and(|ring| ring.contains_key(&position(0, id)))
    }

    pub(crate) fn insert(&mut self, id: &NodeId) {
        for (index, ring) in self.rings.iter_mut().enumerate() {
            ring.insert(position(index, id), ());
        }
    }

    pub(crate) fn remove(&mut self, id: &NodeId) {
        for (index, ring) in self.rings.iter_mut().enumerate() {
            ring.remove(&position(index, id));
        }
    }

    /// Returns the successors of `id`, one distinct member per ring.
    pub(crate) fn successors(&self, id: &NodeId) -> BTreeSet<NodeId> {
        let mut found = BTreeSet::new();
        for (index, ring) in self.rings.iter().enumerate() {
            let from = position(index, id);
            let following = ring.range(&from..).chain(ring.range(..&from));
            let next = following.map(|((_, other), ())| other);
            found.extend(
                next.filter(|other| *other != id).find(|other| !found.contains(*other)).cloned(),
            );
        }
        found
    }

    /// Returns the predecessors of `id`, one distinct member per ring.
    pub(crate) fn predecessors(&self, id: &NodeId) -> BTreeSet<NodeId> {
        let mut found = BTreeSet::new();
        for (index, ring) in self.rings.iter().enumerate() {
            let from = position(index, id);
            let preceding = ring.range(..&from).rev().chain(ring.range(&from..).rev());
            let next = preceding.map(|((_, other), ())| other);
            found.extend(
                next.filter(|other| *other != id).find(|other| !found.contains(*other)).cloned(),
            );
        }
        found
    }
}

fn position(index: usize, id: &NodeId) -> (u64, NodeId) {
    (xxh3_64_with_seed(id.as_bytes(), index as u64), id.clone())
}
