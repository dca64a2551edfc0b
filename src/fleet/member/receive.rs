//! What a member does with messages.

use std::time::Duration;

use crate::clock::Moment;
use crate::fleet::Member;
use crate::fleet::Message;
use crate::fleet::Output;
use crate::fleet::Repair;
use crate::fleet::Rumour;
use crate::fleet::Status;
use crate::fleet::member::size_of;
use crate::id::ConfigNumber;
use crate::id::NodeId;

/// Least time between two comparisons of digests that this process starts.
const REPAIR_PERIOD: Duration = Duration::from_secs(2);

/// How long the table must have been still before digests are compared: news under
/// way makes them differ without need. After [`REPAIR_ANYWAY`] that is ignored.
const REPAIR_QUIET: Duration = Duration::from_secs(1);

/// Longest time that news under way puts off a comparison.
const REPAIR_ANYWAY: Duration = Duration::from_secs(10);

/// How long after its start a process does not wait for its table to be still. Where
/// a failure domain starts at once, the first that it compares with knows as little.
const YOUTH: Duration = Duration::from_secs(20);

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
                self.acknowledged(now, &from, sequence, outputs);
                self.note(&from, config);
                self.compare(now, &from, root, outputs);
            }
            Message::Join(record) => {
                self.learn(now, &Rumour::Alive(record), None, outputs);
                let mut rumours = self.roster.rumours(&from);
                rumours.push(Rumour::Alive(self.me.clone()));
                self.send(&from, Message::Rumours(rumours), outputs);
            }
            Message::Ping { about, address, config, root, sequence } => {
                let message = Box::new(self.ack(sequence));
                outputs.push(Output::Send { to: from.clone(), address, message });
                self.answer(now, &from, about, outputs);
                self.note(&from, config);
                self.compare(now, &from, root, outputs);
            }
            Message::Relay { sequence, target } => {
                let number = self.prober.errand(now, from, sequence, target.clone());
                self.ping(number, &target, outputs);
            }
            Message::Relayed { sequence, target } => self.prober.relayed(&target, sequence),
            Message::Repair(step) => self.repair(now, &from, &step, outputs),
            Message::Rumours(rumours) => {
                for rumour in &rumours {
                    self.learn(now, rumour, Some(&from), outputs);
                }
                self.greet(now, &from, outputs);
            }
        }
    }

    fn acknowledged(
        &mut self,
        now: Moment,
        from: &NodeId,
        sequence: u32,
        outputs: &mut Vec<Output>,
    ) {
        if let Some((origin, sequence)) = self.prober.answered(now, from, sequence) {
            let message = Message::Relayed { sequence, target: from.clone() };
            self.send(&origin, message, outputs);
        }
        let me = self.me.id.clone();
        if let Some(entry) = self.roster.get_mut(from) {
            entry.accusers.remove(&me);
        }
    }

    fn ack(&self, sequence: u32) -> Message {
        let config = self.me.meta.config;
        Message::Ack { config, root: self.roster.digest.root(), sequence }
    }

    /// Tells a sender that it is not trusted here, or that this process is sound.
    fn answer(
        &mut self,
        now: Moment,
        from: &NodeId,
        about: Option<Box<Rumour>>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(rumour) = about {
            self.learn(now, &rumour, Some(from), outputs);
            self.send(from, Message::Rumours(vec![Rumour::Alive(self.me.clone())]), outputs);
        }
        let gone = self.roster.get(from).is_some_and(|entry| entry.status >= Status::Failed);
        if gone {
            let rumours = self.roster.rumours(from);
            self.send(from, Message::Rumours(rumours), outputs);
        }
    }

    fn note(&mut self, from: &NodeId, config: ConfigNumber) {
        if let Some(entry) = self.roster.get_mut(from) {
            entry.record.meta.config = entry.record.meta.config.max(config);
        }
    }

    /// Starts a comparison where a neighbour's table differs for no passing reason.
    fn compare(&mut self, now: Moment, with: &NodeId, root: u32, outputs: &mut Vec<Output>) {
        let young = now < self.started_at + YOUTH;
        let quiet = young || now >= self.changed_at + REPAIR_QUIET;
        let due =
            (quiet && self.may_repair(now, REPAIR_PERIOD)) || self.may_repair(now, REPAIR_ANYWAY);
        if root != self.roster.digest.root() && due {
            self.ask(now, with, outputs);
        }
    }

    /// Asks whom this process met first for the whole table.
    fn greet(&mut self, now: Moment, from: &NodeId, outputs: &mut Vec<Output>) {
        if self.roster.live() == 2 && self.may_repair(now, REPAIR_PERIOD) {
            self.ask(now, from, outputs);
        }
    }

    fn may_repair(&self, now: Moment, period: Duration) -> bool {
        self.repaired_at.is_none_or(|at| now >= at + period)
    }

    fn ask(&mut self, now: Moment, whom: &NodeId, outputs: &mut Vec<Output>) {
        self.repaired_at = Some(now);
        self.send(whom, Message::Repair(self.roster.digest.hashes()), outputs);
    }

    fn repair(&mut self, now: Moment, from: &NodeId, step: &Repair, outputs: &mut Vec<Output>) {
        if !self.spread.is_open(now) {
            return;
        }
        let answer = self.roster.digest.answer(step);
        for repair in answer.repairs {
            self.send(from, Message::Repair(repair), outputs);
        }
        let roster = &self.roster;
        let size = |id: &NodeId| roster.rumours(id).iter().map(size_of).sum();
        for ids in self.spread.grant(now, &answer.send, size) {
            let rumours = ids.iter().flat_map(|id| self.roster.rumours(id)).collect();
            self.send(from, Message::Rumours(rumours), outputs);
        }
    }
}
