//! What a member makes of news.

use std::time::Duration;

use rand::Rng;

use crate::clock::Moment;
use crate::fleet::Member;
use crate::fleet::Output;
use crate::fleet::Rumour;
use crate::fleet::Status;
use crate::fleet::probe::PERIOD;
use crate::fleet::roster::Effect;
use crate::id::NodeId;

/// Least time between two refutations. Two processes of one name would otherwise
/// outbid each other without end.
const REFUTE_PERIOD: Duration = Duration::from_millis(300);

impl Member {
    pub(super) fn learn(
        &mut self,
        now: Moment,
        rumour: &Rumour,
        from: Option<&NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        let id = rumour.id().clone();
        if id == self.me.id {
            self.refute(now, rumour);
            return;
        }
        let before = self.roster.get(&id).map(|entry| entry.status);
        let effect = self.roster.apply(now, rumour);
        if matches!(effect, Effect::Changed | Effect::Joined) {
            let after = self.roster.get(&id).map(|entry| entry.status);
            if after != before || after == Some(Status::Alive) {
                self.settle(now, &id, outputs);
            }
        }
        if effect != Effect::Nothing {
            self.queue(&id, from, effect != Effect::Joined);
        }
        if let Some(from) = from
            && self.is_current(rumour)
        {
            self.spread.saw(from, &id);
            self.urgent.saw(from, &id);
        }
    }

    fn is_current(&self, rumour: &Rumour) -> bool {
        self.roster.get(rumour.id()).is_some_and(|entry| {
            (entry.record.incarnation, entry.status) == (rumour.incarnation(), rumour.status())
                && entry.accusers.len() <= 1
        })
    }

    fn refute(&mut self, now: Moment, rumour: &Rumour) {
        let own = self.me.incarnation;
        let harmless = match rumour {
            Rumour::Alive(record) => record.incarnation <= own,
            _ => rumour.incarnation() < own,
        };
        let recent = self.refuted_at.is_some_and(|at| now < at + REFUTE_PERIOD);
        if !harmless && !recent {
            self.refuted_at = Some(now);
            self.renew(now, rumour.incarnation());
        }
    }

    /// Draws the consequences of a member's new status.
    pub(super) fn settle(&mut self, now: Moment, id: &NodeId, outputs: &mut Vec<Output>) {
        let Some(entry) = self.roster.get(id) else { return };
        self.changed_at = now;
        let id = id.clone();
        let known = self.neighbours.contains(&id);
        match entry.status {
            Status::Alive if !self.rings.contains(&id) => {
                self.rings.insert(&id);
                self.rewatch(now);
                outputs.push(Output::Joined(id));
            }
            Status::Alive => outputs.push(Output::Changed(id)),
            Status::Suspect => outputs.push(Output::Suspected(id)),
            Status::Failed | Status::Left => {
                let left = entry.status == Status::Left;
                self.rings.remove(&id);
                self.spread.retain(|peer| *peer != id);
                self.urgent.retain(|peer| *peer != id);
                if known {
                    self.rewatch(now);
                }
                outputs.push(if left { Output::Left(id) } else { Output::Failed(id) });
            }
        }
    }

    fn rewatch(&mut self, now: Moment) {
        let targets = self.rings.successors(&self.me.id);
        let random = &mut self.random;
        self.prober.watch(now, &targets, || random.random_range(Duration::ZERO..PERIOD));
        self.neighbours = self.rings.predecessors(&self.me.id);
        self.neighbours.extend(targets);
    }
}
