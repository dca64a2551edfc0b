//! Limits that upstreams named, at one entry.

use std::collections::BTreeMap;

use crate::balance;
use crate::directory;
use crate::id::NodeId;
use crate::id::UpstreamId;
use crate::registry::Announcement;
use crate::routing;

/// Limits that upstreams named for all entries together.
#[derive(Debug, Default)]
pub(super) struct Limits(BTreeMap<UpstreamId, balance::Limit>);

impl Limits {
    /// Sets or lifts a limit; returns whether that is new.
    pub(super) fn set(&mut self, upstream: &UpstreamId, limit: Option<balance::Limit>) -> bool {
        let before = match limit {
            Some(limit) => self.0.insert(upstream.clone(), limit),
            None => self.0.remove(upstream),
        };
        before != limit
    }

    /// Removes an upstream that is gone or has restarted.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.0.remove(upstream);
    }

    /// Limit of an upstream, and the part of it that entry `id` may use if callers are told of
    /// `entries`.
    pub(super) fn get(
        &self,
        id: &NodeId,
        entries: &[directory::Entry],
        announcement: &Announcement,
    ) -> Option<routing::Limit> {
        let named = *self.0.get(&announcement.upstream)?;
        let entries = entries.iter().map(|entry| (&entry.id, &entry.domain));
        let owner = balance::owner(entries, &announcement.upstream, &announcement.domain);
        Some(routing::Limit { named, rate: named.rate_of(id, owner) })
    }
}
