//! What a registry makes of changes.

use crate::clock::Moment;
use crate::id::NodeId;
use crate::registry::Change;
use crate::registry::Output;
use crate::registry::Registry;
use crate::registry::State;
use crate::registry::Upstream;
use crate::registry::upstream::Born;

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
        outputs.push(Output::Changed { incarnation, state, upstream });
    }

    fn put(&mut self, now: Moment, change: Change) {
        let id = change.announcement.upstream.clone();
        let old = self.upstreams.remove(&id);
        let same = |old: &Upstream| old.announcement.incarnation == change.announcement.incarnation;
        let home = match &old {
            Some(old) => old.home.clone(),
            None => self.homes.pick(&id),
        };
        let old = old.filter(same);
        let upstream = Upstream {
            answered: old.as_ref().and_then(|old| old.answered),
            born: old.as_ref().map_or(Born { age: change.age, at: now }, |old| old.born),
            draining: old.as_ref().is_some_and(|old| old.draining),
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
