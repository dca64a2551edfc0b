//! Position of an entry in the table of upstreams.

use super::Poll;
use super::Selection;
use super::Snapshot;
use super::subscription::Subscription;
use crate::id::DomainId;
use crate::id::Index;

/// Where the changes in an update start, and which upstreams they are about.
pub(super) struct Position {
    pub(super) base: Index,
    pub(super) domain: DomainId,
    /// Selection that the entry follows from now on, if it is another one.
    pub(super) follow: Option<Selection>,
    /// Whether it loads all upstreams of the selection anew.
    pub(super) is_load: bool,
    /// Index up to which the entry needs no removals.
    pub(super) removals_from: Index,
    pub(super) selection: Selection,
}

impl Position {
    /// Position of an entry that is sent what it lacks.
    pub(super) fn of_push(subscription: &Subscription) -> Self {
        Self {
            base: subscription.known,
            domain: subscription.entry.domain.clone(),
            follow: None,
            is_load: false,
            removals_from: subscription.known,
            selection: subscription.selection.clone(),
        }
    }

    /// Position of an entry that polls. It loads its upstreams anew if it has none, if it should
    /// follow more, or if the table no longer knows all removals that it may have missed. To follow
    /// fewer, as while a table fills, it only drops the others.
    pub(super) fn of(poll: &Poll, snapshot: &Snapshot<'_>) -> Self {
        let domain = poll.entry.domain.clone();
        let selection = poll.selection.fitted(snapshot.catalog.sizes(), &domain);
        let removals_from = poll.loading.unwrap_or(poll.known);
        let is_load = poll.known == 0
            || !selection.is_within(&poll.selection)
            || !snapshot.catalog.holds_removals_since(removals_from);
        let follow = (is_load || selection != poll.selection).then(|| selection.clone());
        let (base, removals_from) =
            if is_load { (0, snapshot.applied) } else { (poll.known, removals_from) };
        Self { base, domain, follow, is_load, removals_from, selection }
    }
}
