use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health::Baseline;
use crate::health::Config;
use crate::health::Item;
use crate::health::Kind;
use crate::health::Reason;
use crate::health::Status;
use crate::health::backoff::Backoff;
use crate::health::counters::Counters;
use crate::health::fault::Fault;
use crate::health::likelihood;
use crate::health::peers::Peers;
use crate::health::suspicion::Suspicion;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// Health record of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    severity: f64,
    baseline: Baseline,
    suspicion: Suspicion,
    backoff: Backoff,
    kept: Option<Reason>,
    counters: Counters,
    slots: u32,
    slow_ejections: u32,
    status: Status,
    trial_outcomes: u32,
}

impl Record {
    /// Weight of the newest outcome in the severity. Four failures in a row, which
    /// suffice for an ejection, raise it to about three quarters.
    const SEVERITY_WEIGHT: f64 = 0.3;
    /// Consecutive ejections for slowness after which the next one resets the latency
    /// baseline, so that the slow latency becomes the usual one: a slow but sound
    /// upstream is better than none, and the balancer gives it fewer requests.
    const MAX_SLOW_EJECTIONS: u32 = 3;
    /// Outcomes that a trial needs to pass.
    const MIN_TRIAL_OUTCOMES: u32 = 5;
    /// Evidence below which a trial passes, in nats: less than one failure.
    const MAX_TRIAL_EVIDENCE: f64 = 2.0;

    pub(crate) fn new(slots: u32) -> Self {
        Self {
            severity: 0.0,
            baseline: Baseline::default(),
            suspicion: Suspicion::default(),
            backoff: Backoff::default(),
            kept: None,
            counters: Counters::default(),
            slots: slots.max(1),
            slow_ejections: 0,
            status: Status::Sound,
            trial_outcomes: 0,
        }
    }

    /// How severe its faults are, from 0 (none) to 1 (every request fails, or takes
    /// ten times as long). Decides which upstreams stay in service at the floor.
    pub(crate) fn severity(&self) -> f64 {
        self.severity
    }

    /// The fault that was detected, if any. On trial half of this entry's evidence
    /// suffices, as the upstream was ejected before.
    pub(crate) fn detect(&mut self, now: Moment, config: &Config) -> Option<Reason> {
        let factor = if self.status == Status::Trial { 0.5 } else { 1.0 };
        let fault = self.suspicion.detect(now, config, config.own_threshold() * factor);
        if fault.is_none() {
            self.kept = None;
        }
        fault.map(Fault::reason)
    }

    pub(crate) fn eject(&mut self, now: Moment, reason: Reason, random: &mut ChaCha8Rng) {
        self.slow_ejections = if reason == Reason::Slow { self.slow_ejections + 1 } else { 0 };
        if self.slow_ejections > Self::MAX_SLOW_EJECTIONS {
            self.baseline.reset_latency();
            self.slow_ejections = 0;
        }
        self.status = Status::Ejected;
        self.backoff.start(now, random);
        self.suspicion.record_ejection(now);
        self.reset_counters();
    }

    pub(crate) fn merge(&mut self, now: Moment, from: &NodeId, item: Item) {
        let is_query = self.suspicion.merge(now, from, item);
        if is_query && self.status == Status::Ejected {
            self.backoff.postpone(now);
        }
    }

    pub(crate) fn backoff(&self) -> &Backoff {
        &self.backoff
    }

    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.status, Status::Sound | Status::Suspect)
    }

    /// Whether evidence has reached half of a threshold.
    pub(crate) fn is_suspect(&self, config: &Config) -> bool {
        self.suspicion.is_suspect(config)
    }

    /// Evidence for all other entries, if there was a recent query or ejection.
    pub(crate) fn item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        self.suspicion.item(now, upstream)
    }

    /// Stores why the upstream was kept in service. Returns whether that changed.
    pub(crate) fn set_kept(&mut self, reason: Reason) -> bool {
        self.kept.replace(reason) != Some(reason)
    }

    /// Adds an outcome to the baseline, unless the upstream is suspect: a gradual
    /// decline must not become the baseline.
    pub(crate) fn learn(&mut self, config: &Config, kind: Kind, latency: Duration) {
        let is_usual = self.status == Status::Sound && !self.is_suspect(config);
        if is_usual && kind != Kind::Refused {
            self.baseline.learn(kind.is_failure(), latency);
        }
    }

    pub(crate) fn add_outcome(&mut self, now: Moment, kind: Kind, latency: Duration, peers: Peers) {
        if kind == Kind::Refused || self.status == Status::Ejected {
            return;
        }
        let failure = Fault::of(kind);
        let baseline_rate = self.baseline.failure_rate();
        for fault in [Fault::Failing, Fault::Silent] {
            let is_failure = failure == Some(fault);
            if is_failure || failure.is_none() {
                self.suspicion.add(
                    now,
                    fault,
                    likelihood::failure_step(is_failure, baseline_rate, peers.failure_rate),
                );
            }
        }
        let is_comparable = failure.is_none() && self.baseline.is_ready();
        let excess = is_comparable.then(|| self.baseline.excess(latency));
        if let Some(excess) = excess {
            let step = likelihood::latency_step(excess - peers.shift, self.baseline.spread());
            self.suspicion.add(now, Fault::Slow, step);
        }
        self.counters.add(now, failure.is_some(), excess);
        self.trial_outcomes += 1;
        self.update_severity(failure.is_some(), excess, peers);
    }

    /// Sets the ages of the requests that still wait for their first byte.
    pub(crate) fn set_pending(&mut self, config: &Config, ages: &[Duration], peers: Peers) {
        let is_comparable = self.baseline.is_ready() && self.status != Status::Ejected;
        let mut pending = 0.0;
        for age in ages.iter().filter(|_| is_comparable) {
            let beyond = age.saturating_sub(config.pause());
            let excess = self.baseline.excess(beyond) - peers.shift;
            pending += likelihood::waiting_step(excess, self.baseline.spread());
        }
        self.suspicion.set_pending(pending);
    }

    pub(crate) fn readmit(&mut self, now: Moment) {
        self.status = Status::Sound;
        self.backoff.restart(now);
        self.clear();
    }

    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }

    pub(crate) fn set_report(&mut self, healthy: bool) {
        self.suspicion.set_report(healthy);
    }

    pub(crate) fn roll(&mut self, now: Moment) {
        self.suspicion.roll(now);
        self.counters.decay(now);
        if self.is_serving() {
            self.backoff.decay(now);
        }
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    pub(crate) fn start_trial(&mut self) {
        self.status = Status::Trial;
        self.clear();
    }

    pub(crate) fn status(&self) -> Status {
        self.status
    }

    /// Evidence for the upstream's home entry, if it is too weak for all entries.
    pub(crate) fn home_item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        self.suspicion.home_item(now, upstream)
    }

    pub(crate) fn has_passed_trial(&self) -> bool {
        self.trial_outcomes >= Self::MIN_TRIAL_OUTCOMES
            && self.suspicion.max_own() < Self::MAX_TRIAL_EVIDENCE
    }

    fn clear(&mut self) {
        self.suspicion.clear();
        self.reset_counters();
    }

    fn reset_counters(&mut self) {
        self.counters = Counters::default();
        self.kept = None;
        self.trial_outcomes = 0;
    }

    /// Updates the moving average of the severity with one outcome.
    fn update_severity(&mut self, is_failure: bool, excess: Option<f64>, peers: Peers) {
        let slowness = (excess.unwrap_or_default() - peers.shift) / std::f64::consts::LN_10;
        let score = if is_failure { 1.0 } else { slowness.clamp(0.0, 1.0) };
        self.severity += Self::SEVERITY_WEIGHT * (score - self.severity);
    }
}
