//! Application of updates.

use std::time::Duration;

use rand::Rng;

use crate::clock::Moment;
use crate::fleet::Member;
use crate::fleet::Output;
use crate::fleet::Status;
use crate::fleet::StatusUpdate;
use crate::fleet::member_table::Effect;
use crate::fleet::probe::PERIOD;
use crate::id::NodeId;

/// Shortest interval between two refutations. Otherwise two processes with the same name would
/// raise their incarnations against each other without limit.
const MIN_REFUTATION_INTERVAL: Duration = Duration::from_millis(300);

impl Member {
    pub(super) fn apply(
        &mut self,
        now: Moment,
        update: &StatusUpdate,
        from: Option<&NodeId>,
        outputs: &mut Vec<Output>,
    ) {
        let id = update.id().clone();
        if id == self.me.id {
            self.refute(now, update);
            return;
        }
        let before = self.member_table.get(&id).map(|entry| entry.status);
        let effect = self.member_table.apply(now, update);
        if matches!(effect, Effect::Changed | Effect::Joined) {
            let after = self.member_table.get(&id).map(|entry| entry.status);
            if after != before || after == Some(Status::Alive) {
                self.on_status_change(now, &id, outputs);
            }
        }
        if effect != Effect::Nothing {
            self.queue(&id, from, effect != Effect::Joined);
        }
        if let Some(from) = from
            && self.is_current(update)
        {
            self.dissemination.mark_known(from, &id);
            self.urgent.mark_known(from, &id);
        }
    }

    fn is_current(&self, update: &StatusUpdate) -> bool {
        self.member_table.get(update.id()).is_some_and(|entry| {
            (entry.record.incarnation, entry.status) == (update.incarnation(), update.status())
                && entry.observers.len() <= 1
        })
    }

    fn refute(&mut self, now: Moment, update: &StatusUpdate) {
        let own = self.me.incarnation;
        let is_harmless = match update {
            StatusUpdate::Alive(record) => record.incarnation <= own,
            _ => update.incarnation() < own,
        };
        let is_recent = self.refuted_at.is_some_and(|at| now < at + MIN_REFUTATION_INTERVAL);
        if !is_harmless && !is_recent {
            self.refuted_at = Some(now);
            self.bump_incarnation(now, update.incarnation());
        }
    }

    /// Updates rings, queues and links after a status change, and reports it.
    pub(super) fn on_status_change(&mut self, now: Moment, id: &NodeId, outputs: &mut Vec<Output>) {
        let Some(entry) = self.member_table.get(id) else { return };
        self.changed_at = now;
        let id = id.clone();
        let is_neighbour = self.neighbours.contains(&id);
        match entry.status {
            Status::Alive if !self.rings.contains(&id) => {
                self.rings.insert(&id);
                self.update_neighbours(now);
                outputs.push(Output::Joined(id));
            }
            Status::Alive => outputs.push(Output::Changed(id)),
            Status::Suspect => outputs.push(Output::Suspected(id)),
            Status::Failed | Status::Left => {
                let has_left = entry.status == Status::Left;
                self.rings.remove(&id);
                self.dissemination.retain(|peer| *peer != id);
                self.urgent.retain(|peer| *peer != id);
                if is_neighbour {
                    self.update_neighbours(now);
                }
                outputs.push(if has_left { Output::Left(id) } else { Output::Failed(id) });
            }
        }
    }

    fn update_neighbours(&mut self, now: Moment) {
        let targets = self.rings.successors(&self.me.id);
        let random = &mut self.random;
        self.prober.set_targets(now, &targets, || random.random_range(Duration::ZERO..PERIOD));
        self.neighbours = self.rings.predecessors(&self.me.id);
        self.neighbours.extend(targets);
    }
}
