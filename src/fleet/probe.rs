//! Direct and indirect pings in flight.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Moment;
use crate::id::NodeId;

/// Interval between probes of a target. Four observers at random phases begin to probe a silent
/// member within 0.4 s on average, and each of them within 1.5 s.
pub(crate) const PERIOD: Duration = Duration::from_millis(1500);

/// Timeout of a direct ping. Several hundred times the 1.5 ms between failure domains, and longer
/// than the stalls of a small VM.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the repeated ping and the indirect ones, which follow the direct one.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an answered ping proves a link. Covers one period, one lost ping and its repeat.
const LINK_PROOF: Duration = Duration::from_millis(2500);

/// Probe in flight.
#[derive(Clone, Debug)]
struct Probe {
    is_repeated: bool,
    sent: Moment,
    target: NodeId,
}

/// Indirect ping on behalf of another member.
#[derive(Clone, Debug)]
struct Relay {
    origin: NodeId,
    sequence: u32,
    sent: Moment,
    target: NodeId,
}

/// Action that is due for a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Action {
    /// First ping of a probe.
    Ping { sequence: u32, target: NodeId },
    /// The direct ping timed out: repeat it, and request indirect pings.
    Repeat { sequence: u32, target: NodeId },
    /// No ping was answered. `sent` is the time of the first one.
    Unanswered { sent: Moment, target: NodeId },
}

/// Probes of the own targets, and indirect pings for other members.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    relays: BTreeMap<u32, Relay>,
    answered_at: BTreeMap<NodeId, Moment>,
    next_at: BTreeMap<NodeId, Moment>,
    probes: BTreeMap<u32, Probe>,
    sequence: u32,
}

impl Prober {
    /// Sets the targets. `phase` spreads their first pings over a period.
    pub(crate) fn set_targets(
        &mut self,
        now: Moment,
        targets: &BTreeSet<NodeId>,
        mut phase: impl FnMut() -> Duration,
    ) {
        self.next_at.retain(|id, _| targets.contains(id));
        self.answered_at.retain(|id, _| targets.contains(id));
        self.probes.retain(|_, probe| targets.contains(&probe.target));
        for id in targets {
            self.next_at.entry(id.clone()).or_insert_with(|| now + phase());
            self.answered_at.entry(id.clone()).or_insert(now);
        }
    }

    /// Returns the actions that are due by `now`.
    pub(crate) fn due(&mut self, now: Moment) -> Vec<Action> {
        let mut due = self.due_probes(now);
        let ready: Vec<NodeId> =
            self.next_at.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone()).collect();
        for target in ready {
            self.next_at.insert(target.clone(), now + PERIOD);
            let sequence = self.start(now, target.clone());
            due.push(Action::Ping { sequence, target });
        }
        self.relays.retain(|_, relay| now < relay.sent + INDIRECT_TIMEOUT);
        due
    }

    /// Forgets the probes in flight after a pause of this process.
    pub(crate) fn reset(&mut self, now: Moment) {
        self.probes.clear();
        for answered_at in self.answered_at.values_mut() {
            *answered_at = (*answered_at).max(now.saturating_sub(LINK_PROOF));
        }
    }

    /// Records an answer of `target`. For an indirect ping, returns the member that requested it
    /// and the sequence number of its request.
    pub(crate) fn record_ack(
        &mut self,
        now: Moment,
        target: &NodeId,
        sequence: u32,
    ) -> Option<(NodeId, u32)> {
        if self.probes.get(&sequence).is_some_and(|probe| probe.target == *target) {
            self.probes.remove(&sequence);
            self.set_answered(now, target);
        }
        let relay = self.relays.get(&sequence).filter(|relay| relay.target == *target)?;
        let report = (relay.origin.clone(), relay.sequence);
        self.relays.remove(&sequence);
        Some(report)
    }

    /// Records that `target` answered an indirect ping.
    pub(crate) fn record_relayed(&mut self, target: &NodeId, sequence: u32) {
        if self.probes.get(&sequence).is_some_and(|probe| probe.target == *target) {
            self.probes.remove(&sequence);
        }
    }

    /// Starts an indirect ping of `target` for `origin`. Returns its sequence number.
    pub(crate) fn start_relay(
        &mut self,
        now: Moment,
        origin: NodeId,
        sequence: u32,
        target: NodeId,
    ) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        let relay = Relay { origin, sequence, sent: now, target };
        self.relays.insert(self.sequence, relay);
        self.sequence
    }

    /// Returns the sequence number of a ping without a timeout.
    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Whether any target other than `except` answered since `since`.
    pub(crate) fn has_other_answer(&self, except: &NodeId, since: Moment) -> bool {
        self.answered_at.iter().any(|(id, at)| id != except && *at >= since)
    }

    /// Whether more than half of the targets answered recently.
    pub(crate) fn in_touch(&self, now: Moment) -> bool {
        let recent = self.answered_at.values().filter(|at| now < **at + LINK_PROOF).count();
        self.answered_at.is_empty() || recent * 2 > self.answered_at.len()
    }

    fn due_probes(&mut self, now: Moment) -> Vec<Action> {
        let mut due = Vec::new();
        for (sequence, probe) in &mut self.probes {
            let target = probe.target.clone();
            if now >= probe.sent + DIRECT_TIMEOUT + INDIRECT_TIMEOUT {
                due.push(Action::Unanswered { sent: probe.sent, target });
            } else if now >= probe.sent + DIRECT_TIMEOUT && !probe.is_repeated {
                probe.is_repeated = true;
                due.push(Action::Repeat { sequence: *sequence, target });
            }
        }
        self.probes.retain(|_, probe| now < probe.sent + DIRECT_TIMEOUT + INDIRECT_TIMEOUT);
        due
    }

    fn set_answered(&mut self, now: Moment, id: &NodeId) {
        if let Some(answered_at) = self.answered_at.get_mut(id) {
            *answered_at = now;
        }
    }

    fn start(&mut self, now: Moment, target: NodeId) -> u32 {
        let sequence = self.next_sequence();
        self.probes.insert(sequence, Probe { is_repeated: false, sent: now, target });
        sequence
    }
}
