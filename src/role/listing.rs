//! Entries that callers are told of.

use std::sync::Arc;

use crate::balance;
use crate::directory;
use crate::feed;
use crate::id::NodeId;
use crate::node::View;
use crate::reach::Peer;
use crate::registry::Announcement;

/// Entries that callers are told of.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    pub(super) entries: Arc<Vec<directory::Entry>>,
    /// Whether the entries will change little.
    pub(super) is_settled: bool,
    /// Those of the entries that take requests from this one.
    pub(super) peers: Arc<Vec<Peer>>,
}

impl Listing {
    /// Creates the listing of process `me`.
    pub(super) fn new(me: &NodeId, entries: &[feed::Entry], is_settled: bool) -> Self {
        let peer = |entry: &feed::Entry| {
            let address = entry.peers.filter(|_| entry.id != *me)?;
            Some(Peer { address, id: entry.id.clone() })
        };
        Self {
            entries: Arc::new(entries.iter().map(super::directory_entry).collect()),
            is_settled,
            peers: Arc::new(entries.iter().filter_map(peer).collect()),
        }
    }

    /// Whether callers are told of an entry.
    pub(super) fn includes(&self, id: &NodeId) -> bool {
        self.entries.iter().any(|entry| entry.id == *id)
    }

    /// Rank of process `me` among the entries for an upstream.
    pub(super) fn rank(&self, me: &NodeId, announcement: &Announcement) -> balance::Rank {
        let entries = self.entries.iter().map(|entry| (&entry.id, &entry.domain));
        balance::Rank::of(me, entries, &announcement.upstream, &announcement.domain)
    }

    /// Whether a view has this listing.
    pub(super) fn is_in(&self, view: &View) -> bool {
        let has_entries = Arc::ptr_eq(&self.entries, &view.entries) || self.entries == view.entries;
        has_entries && self.is_settled == view.is_settled
    }

    /// Writes the listing into a view.
    pub(super) fn write_to(self, view: &mut View) {
        view.entries = self.entries;
        view.is_settled = self.is_settled;
        view.peers = self.peers;
    }
}
