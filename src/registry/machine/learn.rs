//! What a registry makes of changes.

use std::time::Duration;

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Change;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;
use crate::registry::Upstream;
use crate::registry::upstream::Born;

/// How much longer than the time between renewals an upstream whose lease ran out
/// may have to prove that it is there.
const CONTEST: Duration = Duration::from_secs(5);

impl Registry {
    /// Takes in a change, unless what is known outweighs it; tells it on.
    pub(super) fn learn(
        &mut self,
        now: Moment,
        change: Change,
        from: Option<&NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        let upstream = change.announcement.upstream.clone();
        let known = self.upstreams.get(&upstream);
        if known.is_none() && change.announcement.state == State::Gone {
            return;
        }
        let order = known.map(|known| known.change(now).order());
        if order.is_some_and(|order| order >= change.order()) {
            if let Some(from) = from
                && order == Some(change.order())
            {
                self.spread.saw(from, &upstream);
                self.urgent.saw(from, &upstream);
            }
            return;
        }
        let incarnation = change.announcement.incarnation;
        let state = change.announcement.state;
        let counted = state != State::Gone;
        self.digest.set(&upstream, change.version(), counted);
        self.changed_at = now;
        self.put(now, change);
        let peers: Vec<NodeId> = self.homes.neighbours().cloned().collect();
        for peer in peers.iter().filter(|peer| Some(*peer) != from) {
            let urgent = state == State::Draining;
            let spread = if urgent { &mut self.urgent } else { &mut self.spread };
            spread.queue(peer, &upstream);
        }
        if !self.contested.contains(&upstream) {
            outputs.push(Output::Changed { incarnation, state, upstream });
        }
    }

    /// Ends the time in which answers decide, and tells that these upstreams are gone.
    pub(super) fn give_up(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        for id in std::mem::take(&mut self.contested) {
            let Some(known) = self.upstreams.get_mut(&id) else { continue };
            if known.contested.is_some_and(|until| now < until) {
                self.contested.insert(id);
                continue;
            }
            known.contested = None;
            let incarnation = known.announcement.incarnation;
            outputs.push(Output::Changed { incarnation, state: State::Gone, upstream: id });
        }
    }

    /// Replaces what is known of an upstream.
    ///
    /// The end of a lease is not taken at its word for the time of one renewal. When
    /// two regions meet again, each has let the leases of the other's upstreams run
    /// out; they would all be without work until they renew. Meanwhile an answer to
    /// this entry, or to its probe, is proof enough; the first probe has as long as an
    /// answer is good for.
    fn put(&mut self, now: Moment, change: Change) {
        let id = change.announcement.upstream.clone();
        let old = self.upstreams.remove(&id);
        let same = |old: &Upstream| old.announcement.incarnation == change.announcement.incarnation;
        let home = match &old {
            Some(old) => old.home.clone(),
            None => self.homes.pick(&id),
        };
        let old = old.filter(same);
        let before = old.as_ref().map(|old| old.announcement.state);
        let lost = change.announcement.state == State::Gone && before == Some(State::Ready);
        let drained = before == Some(State::Draining);
        let renewal = change.announcement.lease / 3;
        let answered = old.as_ref().and_then(|old| old.answered);
        if lost {
            self.contested.insert(id.clone());
        } else {
            self.contested.remove(&id);
        }
        let upstream = Upstream {
            answered: if lost { Some(now) } else { answered },
            born: old.as_ref().map_or(Born { age: change.age, at: now }, |old| old.born),
            contested: lost.then_some(now + renewal + CONTEST),
            draining: old.as_ref().is_some_and(|old| old.draining) || drained,
            home,
            probed: old.as_ref().and_then(|old| old.probed),
            renewed: now,
            revision: change.revision,
            since: now,
            announcement: change.announcement,
        };
        self.upstreams.insert(id, upstream);
    }
}
