//! Pushes of changes and urgent results to entries, without a poll.

use super::Publisher;
use super::Snapshot;
use crate::clock::Moment;
use crate::feed::Message;
use crate::feed::Tallies;
use crate::feed::position::Position;
use crate::feed::subscription::Subscription;
use crate::id::NodeId;

impl Publisher {
    /// Pushes to all entries whose upstreams have changed, or that are to be asked.
    pub(super) fn push(
        &mut self,
        now: Moment,
        snapshot: &Snapshot<'_>,
        sends: &mut Vec<(NodeId, Message)>,
    ) {
        self.push_at = None;
        self.pushed_at = now;
        self.roster(now);
        let roster = &self.roster;
        let is_to_be_asked = |subscription: &Subscription| {
            let doubted = roster.doubted(&subscription.entry.id);
            doubted.map_or(!subscription.asked.is_empty(), |it| *it != subscription.asked)
        };
        let due = |subscription: &&Subscription| {
            let is_outdated = subscription.known < snapshot.applied;
            !subscription.is_expired(now) && (is_outdated || is_to_be_asked(subscription))
        };
        let outdated = self.subscriptions.values().filter(due);
        let outdated: Vec<NodeId> =
            outdated.map(|subscription| subscription.entry.id.clone()).collect();
        for id in outdated {
            self.push_to(now, &id, snapshot, sends);
        }
    }

    /// Forwards tallies to the other controls, and pushes urgent ones to the entries that get
    /// requests. The other entries get them with their next poll.
    pub(super) fn forward_tallies(
        &mut self,
        now: Moment,
        snapshot: &Snapshot<'_>,
        sends: &mut Vec<(NodeId, Message)>,
    ) {
        self.forward_at = None;
        self.forwarded_at = now;
        let batch = std::mem::take(&mut self.unforwarded);
        if !batch.is_empty() {
            let others = snapshot.controls.iter().map(|control| control.id.clone());
            sends.extend(others.map(|id| (id, Message::Tallies(batch.clone()))));
        }
        let advertised = self.roster(now).advertised_ids.clone();
        let is_active = |subscription: &Subscription| {
            subscription.is_active(now) || advertised.contains(&subscription.entry.id)
        };
        let due = |subscription: &&Subscription| {
            !subscription.is_expired(now)
                && subscription.tallies.is_urgent()
                && is_active(subscription)
        };
        let urgent = self.subscriptions.values().filter(due);
        let urgent: Vec<NodeId> =
            urgent.map(|subscription| subscription.entry.id.clone()).collect();
        for id in urgent {
            self.push_to(now, &id, snapshot, sends);
        }
    }

    /// Pushes an update with all changes that it lacks to an entry, unless it is loading and polls
    /// for them anyway.
    fn push_to(
        &mut self,
        now: Moment,
        id: &NodeId,
        snapshot: &Snapshot<'_>,
        sends: &mut Vec<(NodeId, Message)>,
    ) {
        let Some(subscription) = self.subscriptions.get_mut(id) else { return };
        if subscription.is_loading || !snapshot.catalog.holds_removals_since(subscription.known) {
            return;
        }
        let position = Position::of_push(subscription);
        let has_tallies = subscription.tallies.is_urgent();
        let mut update = self.update(now, id, position, Tallies::default(), snapshot);
        update.configuration = self.offer_to(id);
        let asked = self.subscriptions.get(id).map(|subscription| &subscription.asked);
        let is_asked_anew = asked.is_some_and(|asked| *asked != update.doubted);
        // The entry follows none of the upstreams that changed. It learns the new index when it
        // polls.
        let is_empty = update.upstreams.is_empty() && update.configuration.is_none();
        if is_empty && !has_tallies && !is_asked_anew {
            return;
        }
        self.note_sent(id, &update);
        if let Some(subscription) = self.subscriptions.get_mut(id) {
            update.tallies = std::mem::take(&mut subscription.tallies);
        }
        sends.push((id.clone(), Message::News(Box::new(update))));
    }
}
