//! Who watches whom: hashed rings over the members.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::NodeId;

/// Members in several pseudo-random circular orders.
///
/// Each member probes its successor on every ring. The union of the rings is an
/// expander with high probability, so news crosses 520 members in four or five
/// hops; and each member has as many observers as there are rings, whatever the
/// size of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Rings {
    rings: Vec<BTreeMap<(u64, NodeId), ()>>,
}

impl Rings {
    pub(crate) fn new(count: usize) -> Self {
        Self { rings: vec![BTreeMap::new(); count] }
    }

    pub(crate) fn contains(&self, id: &NodeId) -> bool {
        self.rings.first().is_some_and(|ring| ring.contains_key(&place(0, id)))
    }

    pub(crate) fn insert(&mut self, id: &NodeId) {
        for (index, ring) in self.rings.iter_mut().enumerate() {
            ring.insert(place(index, id), ());
        }
    }

    pub(crate) fn remove(&mut self, id: &NodeId) {
        for (index, ring) in self.rings.iter_mut().enumerate() {
            ring.remove(&place(index, id));
        }
    }

    /// Successors of `id`, one for each ring, without repeats.
    pub(crate) fn successors(&self, id: &NodeId) -> BTreeSet<NodeId> {
        let mut found = BTreeSet::new();
        for (index, ring) in self.rings.iter().enumerate() {
            let from = place(index, id);
            let onward = ring.range(&from..).chain(ring.range(..&from));
            let next = onward.map(|((_, other), ())| other);
            found.extend(
                next.filter(|other| *other != id).find(|other| !found.contains(*other)).cloned(),
            );
        }
        found
    }

    /// Predecessors of `id`, one for each ring, without repeats.
    pub(crate) fn predecessors(&self, id: &NodeId) -> BTreeSet<NodeId> {
        let mut found = BTreeSet::new();
        for (index, ring) in self.rings.iter().enumerate() {
            let from = place(index, id);
            let back = ring.range(..&from).rev().chain(ring.range(&from..).rev());
            let next = back.map(|((_, other), ())| other);
            found.extend(
                next.filter(|other| *other != id).find(|other| !found.contains(*other)).cloned(),
            );
        }
        found
    }
}

fn place(index: usize, id: &NodeId) -> (u64, NodeId) {
    (xxh3_64_with_seed(id.as_bytes(), index as u64), id.clone())
}
