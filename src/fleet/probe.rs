//! Pings under way and what came back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::NodeId;

/// Each target is probed this often. Four observers at random phases notice a
/// silent member within 0.4 s on average, and each within 1.5 s.
pub(crate) const PERIOD: Duration = Duration::from_millis(1500);

/// How long a direct ping may take: some hundred times the 1.5 ms between failure
/// domains, and above the stalls of a small VM.
const DIRECT: Duration = Duration::from_millis(500);

/// How long after that the repeated ping and the indirect ones may take.
const INDIRECT: Duration = Duration::from_millis(500);

/// How long an answered ping proves a link: one period, one lost ping and its repeat.
const PROOF: Duration = Duration::from_millis(2500);

/// One ping under way.
#[derive(Clone, Debug)]
struct Probe {
    repeated: bool,
    sent: Moment,
    target: NodeId,
}

/// Ping on behalf of another member.
#[derive(Clone, Debug)]
struct Errand {
    origin: NodeId,
    sequence: u32,
    sent: Moment,
    target: NodeId,
}

/// What is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Due {
    /// First ping of a probe.
    Ping { sequence: u32, target: NodeId },
    /// The direct ping was not answered: repeat it, and ask others to.
    Repeat { sequence: u32, target: NodeId },
    /// Nobody had an answer; `sent` is when the first ping left.
    Silent { sent: Moment, target: NodeId },
}

/// Probes of the own targets and errands for others.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    errands: BTreeMap<u32, Errand>,
    heard: BTreeMap<NodeId, Moment>,
    next: BTreeMap<NodeId, Moment>,
    probes: BTreeMap<u32, Probe>,
    sequence: u32,
}

impl Prober {
    /// Watches these from now on; `phase` spreads the first ping over a period.
    pub(crate) fn watch(
        &mut self,
        now: Moment,
        targets: &BTreeSet<NodeId>,
        mut phase: impl FnMut() -> Duration,
    ) {
        self.next.retain(|id, _| targets.contains(id));
        self.heard.retain(|id, _| targets.contains(id));
        self.probes.retain(|_, probe| targets.contains(&probe.target));
        for id in targets {
            self.next.entry(id.clone()).or_insert_with(|| now + phase());
            self.heard.entry(id.clone()).or_insert(now);
        }
    }

    /// What is due by `now`.
    pub(crate) fn due(&mut self, now: Moment) -> Vec<Due> {
        let mut due = self.due_probes(now);
        let ready: Vec<NodeId> =
            self.next.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for target in ready {
            self.next.insert(target.clone(), now + PERIOD);
            let sequence = self.start(now, target.clone());
            due.push(Due::Ping { sequence, target });
        }
        self.errands.retain(|_, errand| now < errand.sent + INDIRECT);
        due
    }

    /// Forgets pings under way: the process itself was stopped for a while.
    pub(crate) fn reset(&mut self, now: Moment) {
        self.probes.clear();
        for heard in self.heard.values_mut() {
            *heard = (*heard).max(now.saturating_sub(PROOF));
        }
    }

    /// Takes note that `target` answered; returns an errand's origin and number.
    pub(crate) fn answered(
        &mut self,
        now: Moment,
        target: &NodeId,
        sequence: u32,
    ) -> Option<(NodeId, u32)> {
        if self.probes.get(&sequence).is_some_and(|probe| probe.target == *target) {
            self.probes.remove(&sequence);
            self.hear(now, target);
        }
        let errand = self.errands.get(&sequence).filter(|errand| errand.target == *target)?;
        let report = (errand.origin.clone(), errand.sequence);
        self.errands.remove(&sequence);
        Some(report)
    }

    /// Takes note that `target` answered another member.
    pub(crate) fn relayed(&mut self, target: &NodeId, sequence: u32) {
        if self.probes.get(&sequence).is_some_and(|probe| probe.target == *target) {
            self.probes.remove(&sequence);
        }
    }

    /// Number for a ping of `target` on behalf of `origin`.
    pub(crate) fn errand(
        &mut self,
        now: Moment,
        origin: NodeId,
        number: u32,
        target: NodeId,
    ) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        let errand = Errand { origin, sequence: number, sent: now, target };
        self.errands.insert(self.sequence, errand);
        self.sequence
    }

    /// Number for a ping outside the rounds, whose silence means nothing.
    pub(crate) fn number(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Whether any target beside `but` answered since `since`.
    pub(crate) fn heard_other(&self, but: &NodeId, since: Moment) -> bool {
        self.heard.iter().any(|(id, at)| id != but && *at >= since)
    }

    /// Whether more than half of the targets answered lately.
    pub(crate) fn in_touch(&self, now: Moment) -> bool {
        let fresh = self.heard.values().filter(|at| now < **at + PROOF).count();
        self.heard.is_empty() || fresh * 2 > self.heard.len()
    }

    fn due_probes(&mut self, now: Moment) -> Vec<Due> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.probes {
            let target = probe.target.clone();
            if now >= probe.sent + DIRECT + INDIRECT {
                due.push(Due::Silent { sent: probe.sent, target });
            } else if now >= probe.sent + DIRECT && !probe.repeated {
                probe.repeated = true;
                due.push(Due::Repeat { sequence: *sequence, target });
            }
        }
        self.probes.retain(|_, probe| now < probe.sent + DIRECT + INDIRECT);
        due
    }

    fn hear(&mut self, now: Moment, id: &NodeId) {
        if let Some(heard) = self.heard.get_mut(id) {
            *heard = now;
        }
    }

    fn start(&mut self, now: Moment, target: NodeId) -> u32 {
        let sequence = self.number();
        self.probes.insert(sequence, Probe { repeated: false, sent: now, target });
        sequence
    }
}
