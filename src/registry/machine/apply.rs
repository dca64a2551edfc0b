//! Application of changes.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Change;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;
use crate::registry::Upstream;
use crate::registry::upstream::FirstSeen;

/// Grace period after the expiry of a lease, on top of the renewal interval. An upstream that
/// answers within it stays in use.
const EXPIRY_GRACE: Duration = Duration::from_secs(5);

impl Registry {
    /// Applies a change and gossips it, unless the known record is at least as new.
    pub(super) fn apply(
        &mut self,
        now: Moment,
        change: Change,
        from: Option<&NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        let upstream = change.announcement.upstream.clone();
        let known = self.upstreams.get(&upstream);
        let life = known.map(|known| known.change(now).life());
        if life.is_some_and(|life| life >= change.life()) {
            if let Some(from) = from
                && life == Some(change.life())
            {
                self.dissemination.mark_known(from, &upstream);
                self.urgent.mark_known(from, &upstream);
            }
            return;
        }
        let incarnation = change.announcement.incarnation;
        let state = change.announcement.state;
        let counted = state != State::Gone;
        self.digest.set(&upstream, change.version(), counted);
        self.changed_at = now;
        self.replace_record(now, change);
        let peers: Vec<NodeId> = self.placement.neighbours().cloned().collect();
        for peer in peers.iter().filter(|peer| Some(*peer) != from) {
            let is_urgent = state == State::Draining;
            let dissemination = if is_urgent { &mut self.urgent } else { &mut self.dissemination };
            dissemination.queue(peer, &upstream);
        }
        if !self.in_grace.contains(&upstream) {
            outputs.push(Output::Changed { incarnation, state, upstream });
        }
    }

    /// Ends the grace periods that are over, and reports these upstreams as gone.
    pub(super) fn end_grace_periods(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.in_grace) {
            let Some(known) = self.upstreams.get_mut(&id) else { continue };
            if known.grace_until.is_some_and(|until| now < until) {
                self.in_grace.insert(id);
                continue;
            }
            known.grace_until = None;
            let incarnation = known.announcement.incarnation;
            outputs.push(Output::Changed { incarnation, state: State::Gone, upstream: id });
        }
    }

    /// Replaces the record of an upstream.
    ///
    /// An expired lease takes effect only after a grace period of one renewal interval and
    /// [`EXPIRY_GRACE`]. When a partition between two regions heals, each has expired the leases
    /// of the other's upstreams, which would all get no work until they renew. During the grace
    /// period, an answer to a request or a probe of this entry keeps an upstream in use. It
    /// starts as if there had been one, which leaves time for the first probe.
    fn replace_record(&mut self, now: Moment, change: Change) {
        let id = change.announcement.upstream.clone();
        let old = self.upstreams.remove(&id);
        let same_incarnation =
            |old: &Upstream| old.announcement.incarnation == change.announcement.incarnation;
        let home = match &old {
            Some(old) => old.home.clone(),
            None => self.placement.pick(&id),
        };
        let old = old.filter(same_incarnation);
        let before = old.as_ref().map(|old| old.announcement.state);
        let has_expired = change.announcement.state == State::Gone && before == Some(State::Ready);
        let was_draining = before == Some(State::Draining);
        let renewal_interval = change.announcement.lease / 3;
        let answered = old.as_ref().and_then(|old| old.answered);
        if has_expired {
            self.in_grace.insert(id.clone());
        } else {
            self.in_grace.remove(&id);
        }
        let upstream = Upstream {
            answered: if has_expired { Some(now) } else { answered },
            first_seen: old
                .as_ref()
                .map_or(FirstSeen { age: change.age, at: now }, |old| old.first_seen),
            grace_until: has_expired.then_some(now + renewal_interval + EXPIRY_GRACE),
            draining: old.as_ref().is_some_and(|old| old.draining) || was_draining,
            home,
            probed_at: old.as_ref().and_then(|old| old.probed_at),
            renewed_at: now,
            revision: change.revision,
            replaced_at: now,
            announcement: change.announcement,
        };
        self.upstreams.insert(id, upstream);
    }
}
