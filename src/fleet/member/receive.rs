//! Messages from other members.

use std::time::Duration;

use crate::clock::Moment;
use crate::fleet::Member;
use crate::fleet::Message;
use crate::fleet::Output;
use crate::fleet::Repair;
use crate::fleet::Status;
use crate::fleet::StatusUpdate;
use crate::fleet::member::size_of;
use crate::id::ConfigNumber;
use crate::id::NodeId;

/// Shortest interval between two digest comparisons that this process starts.
const REPAIR_PERIOD: Duration = Duration::from_secs(2);

/// Time without changes before digests are compared, because updates in flight make them differ.
/// After [`REPAIR_PERIOD_MAX`] that is ignored.
const REPAIR_QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Interval after which digests are compared even if updates are in flight.
const REPAIR_PERIOD_MAX: Duration = Duration::from_secs(10);

/// Time after its start in which a process compares digests without waiting for its table to be
/// quiet. If a failure domain starts at once, the first peer that it compares with knows as little
/// as itself.
const STARTUP_PERIOD: Duration = Duration::from_secs(20);

impl Member {
    pub(super) fn receive(
        &mut self,
        now: Moment,
        from: NodeId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Ack { config, root, sequence } => {
                self.receive_ack(now, &from, sequence, outputs);
                self.record_config(&from, config);
                self.compare(now, &from, root, outputs);
            }
            Message::Join(record) => {
                self.apply(now, &StatusUpdate::Alive(record), None, outputs);
                let mut updates = self.member_table.updates(&from);
                updates.push(StatusUpdate::Alive(self.me.clone()));
                self.send(&from, Message::Rumours(updates), outputs);
            }
            Message::Ping { about, address, config, root, sequence } => {
                let message = Box::new(self.ack(sequence));
                outputs.push(Output::Send { to: from.clone(), address, message });
                self.answer_ping(now, &from, about, outputs);
                self.record_config(&from, config);
                self.compare(now, &from, root, outputs);
            }
            Message::Relay { sequence, target } => {
                let relay_sequence = self.prober.start_relay(now, from, sequence, target.clone());
                self.ping(relay_sequence, &target, outputs);
            }
            Message::Relayed { sequence, target } => self.prober.record_relayed(&target, sequence),
            Message::Repair(step) => self.repair(now, &from, &step, outputs),
            Message::Rumours(updates) => {
                for update in &updates {
                    self.apply(now, update, Some(&from), outputs);
                }
                self.sync_first_member(now, &from, outputs);
            }
        }
    }

    fn receive_ack(
        &mut self,
        now: Moment,
        from: &NodeId,
        sequence: u32,
        outputs: &mut Vec<Output>,
    ) {
        if let Some((origin, sequence)) = self.prober.record_ack(now, from, sequence) {
            let message = Message::Relayed { sequence, target: from.clone() };
            self.send(&origin, message, outputs);
        }
        let me = self.me.id.clone();
        if let Some(entry) = self.member_table.get_mut(from) {
            entry.observers.remove(&me);
        }
    }

    fn ack(&self, sequence: u32) -> Message {
        let config = self.me.meta.config;
        Message::Ack { config, root: self.member_table.digest.root(), sequence }
    }

    /// Refutes a suspicion of the sender, and informs a sender that is failed here.
    fn answer_ping(
        &mut self,
        now: Moment,
        from: &NodeId,
        about: Option<Box<StatusUpdate>>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(update) = about {
            self.apply(now, &update, Some(from), outputs);
            self.send(from, Message::Rumours(vec![StatusUpdate::Alive(self.me.clone())]), outputs);
        }
        let is_failed =
            self.member_table.get(from).is_some_and(|entry| entry.status >= Status::Failed);
        if is_failed {
            let updates = self.member_table.updates(from);
            self.send(from, Message::Rumours(updates), outputs);
        }
    }

    fn record_config(&mut self, from: &NodeId, config: ConfigNumber) {
        if let Some(entry) = self.member_table.get_mut(from) {
            entry.record.meta.config = entry.record.meta.config.max(config);
        }
    }

    /// Starts a digest comparison if a neighbour's table differs and no updates are in flight.
    fn compare(&mut self, now: Moment, with: &NodeId, root: u32, outputs: &mut Vec<Output>) {
        let is_starting = now < self.started_at + STARTUP_PERIOD;
        let is_quiet = is_starting || now >= self.changed_at + REPAIR_QUIET_PERIOD;
        let is_due = (is_quiet && self.can_repair(now, REPAIR_PERIOD))
            || self.can_repair(now, REPAIR_PERIOD_MAX);
        if root != self.member_table.digest.root() && is_due {
            self.start_repair(now, with, outputs);
        }
    }

    /// Requests the whole table from the first member that this process meets.
    fn sync_first_member(&mut self, now: Moment, from: &NodeId, outputs: &mut Vec<Output>) {
        if self.member_table.live_count() == 2 && self.can_repair(now, REPAIR_PERIOD) {
            self.start_repair(now, from, outputs);
        }
    }

    fn can_repair(&self, now: Moment, period: Duration) -> bool {
        self.repaired_at.is_none_or(|at| now >= at + period)
    }

    fn start_repair(&mut self, now: Moment, peer: &NodeId, outputs: &mut Vec<Output>) {
        self.repaired_at = Some(now);
        self.send(peer, Message::Repair(self.member_table.digest.hashes()), outputs);
    }

    fn repair(&mut self, now: Moment, from: &NodeId, step: &Repair, outputs: &mut Vec<Output>) {
        if !self.dissemination.is_open(now) {
            return;
        }
        let answer = self.member_table.digest.answer(step);
        for repair in answer.repairs {
            self.send(from, Message::Repair(repair), outputs);
        }
        let member_table = &self.member_table;
        let size = |id: &NodeId| member_table.updates(id).iter().map(size_of).sum();
        for ids in self.dissemination.batches_for(now, &answer.send, size) {
            let updates = ids.iter().flat_map(|id| self.member_table.updates(id)).collect();
            self.send(from, Message::Rumours(updates), outputs);
        }
    }
}
