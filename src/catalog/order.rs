//! What the table derives from its upstreams, so that a change costs no pass over all of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Bound;

use super::Sizes;
use crate::id::Index;
use crate::id::UpstreamId;
use crate::registry::Announcement;

/// Upstreams and removals in the order of the log, upstreams by address, and sums.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Order {
    addresses: BTreeMap<SocketAddr, BTreeSet<UpstreamId>>,
    /// Last change of each upstream, and all removals.
    changes: BTreeSet<(Index, UpstreamId)>,
    removals: BTreeSet<(Index, UpstreamId)>,
    sizes: Sizes,
    slots: u64,
}

impl Order {
    /// Adds an upstream whose last change has this index.
    pub(super) fn add(&mut self, index: Index, announced: &Announcement) {
        let id = &announced.upstream;
        self.changes.insert((index, id.clone()));
        self.addresses.entry(announced.address).or_default().insert(id.clone());
        self.sizes.add(&announced.service, &announced.domain);
        self.slots += u64::from(announced.slots);
    }

    /// Removes what [`Self::add`] added.
    pub(super) fn remove(&mut self, index: Index, announced: &Announcement) {
        let id = &announced.upstream;
        self.changes.remove(&(index, id.clone()));
        if let Some(ids) = self.addresses.get_mut(&announced.address) {
            ids.remove(id);
            if ids.is_empty() {
                self.addresses.remove(&announced.address);
            }
        }
        self.sizes.remove(&announced.service, &announced.domain);
        self.slots -= u64::from(announced.slots);
    }

    /// Adds the removal of an upstream.
    pub(super) fn add_removal(&mut self, index: Index, id: &UpstreamId) {
        self.changes.insert((index, id.clone()));
        self.removals.insert((index, id.clone()));
    }

    /// Removes what [`Self::add_removal`] added.
    pub(super) fn remove_removal(&mut self, index: Index, id: &UpstreamId) {
        self.changes.remove(&(index, id.clone()));
        self.removals.remove(&(index, id.clone()));
    }

    /// Changes and removals after an index, in the order of the log.
    pub(super) fn after(&self, base: Index) -> impl Iterator<Item = (Index, &UpstreamId)> {
        let first = (base.saturating_add(1), UpstreamId::default());
        let later = self.changes.range((Bound::Included(first), Bound::Unbounded));
        later.map(|(index, id)| (*index, id))
    }

    /// Upstreams at an address.
    pub(super) fn at_address(&self, address: SocketAddr) -> BTreeSet<UpstreamId> {
        self.addresses.get(&address).cloned().unwrap_or_default()
    }

    /// The oldest removal.
    pub(super) fn first_removal(&self) -> Option<(Index, UpstreamId)> {
        self.removals.first().cloned()
    }

    /// Number of upstreams by service and failure domain.
    pub(super) fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Slots of all upstreams.
    pub(super) fn slots(&self) -> u64 {
        self.slots
    }
}
