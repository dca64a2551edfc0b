use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health::Config;
use crate::health::Digest;
use crate::health::Input;
use crate::health::Output;
use crate::health::Reason;
use crate::health::Status;
use crate::health::floor::Floor;
use crate::health::peers::Peers;
use crate::health::record::Record;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// Monitors the health of one service's upstreams, as one entry sees them, and
/// decides which of them to eject and readmit.
#[derive(Clone, Debug)]
pub struct Monitor {
    name: NodeId,
    peers: Peers,
    random: ChaCha8Rng,
    records: BTreeMap<UpstreamId, Record>,
    config: Config,
    next_share_at: Moment,
    next_home_at: Moment,
}

impl Monitor {
    /// Difference of severity by which an ejected upstream must be better to replace
    /// one in service; a smaller one would swap equal upstreams back and forth.
    const REPLACEMENT_MARGIN: f64 = 0.4;
    /// Time between two digests to all entries. Sent at every tick, as detection
    /// would otherwise wait for them; upstreams are rarely suspected.
    const SHARE_INTERVAL: Duration = Config::TICK;
    /// Time between two digests to the home entries.
    const HOME_INTERVAL: Duration = Duration::from_secs(1);
    /// Share of suspect or ejected upstreams above which the cause must be shared.
    const SHARED_CAUSE_RATIO: f64 = 0.6;

    /// Creates a monitor in the entry `name`.
    #[must_use]
    pub fn new(name: NodeId, config: Config, random: ChaCha8Rng) -> Self {
        Self {
            name,
            peers: Peers::default(),
            random,
            records: BTreeMap::new(),
            config,
            next_share_at: Moment::ZERO,
            next_home_at: Moment::ZERO,
        }
    }

    /// Handles one input at `now`, which must not go backwards.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Digest(digest) => self.merge(now, digest),
            Input::Gone { upstream } => {
                self.records.remove(&upstream);
                self.restore_floor(now, &mut outputs);
            }
            Input::Member { slots, upstream, .. } => {
                let record = self.records.entry(upstream).or_insert_with(|| Record::new(slots));
                record.set_slots(slots);
                self.restore_floor(now, &mut outputs);
            }
            Input::Outcome { kind, latency, upstream } => {
                if let Some(record) = self.records.get_mut(&upstream) {
                    record.add_outcome(now, kind, latency, self.peers);
                    record.learn(&self.config, kind, latency);
                }
            }
            Input::Pending { ages, upstream } => {
                if let Some(record) = self.records.get_mut(&upstream) {
                    record.set_pending(&self.config, &ages, self.peers);
                }
            }
            Input::Report { healthy, upstream } => {
                if let Some(record) = self.records.get_mut(&upstream) {
                    record.set_report(healthy);
                }
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, now: Moment, config: Config) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.config = config;
        self.restore_floor(now, &mut outputs);
        outputs
    }

    /// Status of an upstream; an unknown one is sound.
    #[must_use]
    pub fn status(&self, upstream: &str) -> Status {
        match self.records.get(upstream) {
            Some(record) if record.status() == Status::Sound && record.is_suspect(&self.config) => {
                Status::Suspect
            }
            Some(record) => record.status(),
            None => Status::Sound,
        }
    }

    /// All upstreams with their statuses, sorted by name.
    pub fn statuses(&self) -> impl Iterator<Item = (&UpstreamId, Status)> {
        self.records.keys().map(|upstream| (upstream, self.status(upstream)))
    }

    /// Factor on the usual share of requests that an upstream should get.
    #[must_use]
    pub fn weight(&self, upstream: &str) -> f64 {
        self.status(upstream).weight()
    }

    fn merge(&mut self, now: Moment, digest: Digest) {
        if digest.from == self.name {
            return;
        }
        for item in digest.items {
            if let Some(record) = self.records.get_mut(&item.upstream) {
                record.merge(now, &digest.from, item);
            }
        }
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        for record in self.records.values_mut() {
            record.roll(now);
        }
        self.peers = Peers::of(self.records.values());
        self.end_trials(now, outputs);
        self.eject_detected(now, outputs);
        self.start_trials(now, outputs);
        self.restore_floor(now, outputs);
        self.share_evidence(now, outputs);
        self.send_home(now, outputs);
    }

    /// Ejects the upstreams with a detected fault, the most severe first.
    fn eject_detected(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let mut detected = self.detect(now);
        detected.sort_by(|(left, ..), (right, ..)| right.total_cmp(left));
        for (_, upstream, reason) in detected {
            let refusal = self.eject(now, &upstream, reason, outputs);
            if let Some(reason) = refusal
                && let Some(record) = self.records.get_mut(&upstream)
                && record.set_kept(reason)
            {
                outputs.push(Output::Kept { reason, upstream });
            }
        }
    }

    /// The upstreams that have a detected fault, with its severity and reason.
    fn detect(&mut self, now: Moment) -> Vec<(f64, UpstreamId, Reason)> {
        let mut detected = Vec::new();
        for (upstream, record) in &mut self.records {
            if record.status() == Status::Ejected {
                continue;
            }
            if let Some(reason) = record.detect(now, &self.config) {
                detected.push((record.severity(), upstream.clone(), reason));
            }
        }
        detected
    }

    /// Ejects an upstream, or returns the reason why it has to stay in service.
    fn eject(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) -> Option<Reason> {
        let record = self.records.get(upstream)?;
        let is_serving = record.is_serving();
        if is_serving && (self.peers.share(reason) || self.has_shared_cause()) {
            return Some(Reason::Shared);
        }
        let floor = Floor::of(&self.config, self.records.values());
        if is_serving && !floor.allows(record, None) {
            let Some(replacement) = self.replacement(record, floor) else {
                return Some(Reason::Floor);
            };
            self.readmit(now, &replacement, Reason::Floor, outputs);
        }
        let record = self.records.get_mut(upstream)?;
        record.eject(now, reason, &mut self.random);
        outputs.push(Output::Eject { reason, upstream: upstream.clone() });
        None
    }

    /// The least severe upstream out of service that can replace `ejected` at the
    /// floor.
    fn replacement(&self, ejected: &Record, floor: Floor) -> Option<UpstreamId> {
        self.records
            .iter()
            .filter(|(_, record)| !record.is_serving() && floor.allows(ejected, Some(record)))
            .filter(|(_, record)| record.severity() + Self::REPLACEMENT_MARGIN < ejected.severity())
            .min_by(|(_, left), (_, right)| left.severity().total_cmp(&right.severity()))
            .map(|(upstream, _)| upstream.clone())
    }

    /// Whether so many upstreams are suspect or out of service that the cause must be
    /// shared.
    fn has_shared_cause(&self) -> bool {
        let is_bad = |record: &&Record| !record.is_serving() || record.is_suspect(&self.config);
        let bad = self.records.values().filter(is_bad).count();
        bad as f64 > Self::SHARED_CAUSE_RATIO * self.records.len() as f64
    }

    fn readmit(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.readmit(now);
            outputs.push(Output::Readmit { reason, upstream: upstream.clone() });
        }
    }

    /// Readmits upstreams while the floor doesn't hold, as when sound upstreams leave
    /// after others were ejected. Those on trial come first, then the least severe.
    fn restore_floor(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while !Floor::of(&self.config, self.records.values()).holds() {
            let least_severe = self
                .records
                .iter()
                .filter(|(_, record)| !record.is_serving())
                .min_by(|(_, left), (_, right)| {
                    let by_status = left.status().cmp(&right.status());
                    by_status.then(left.severity().total_cmp(&right.severity()))
                })
                .map(|(upstream, _)| upstream.clone());
            let Some(upstream) = least_severe else {
                return;
            };
            self.readmit(now, &upstream, Reason::Floor, outputs);
        }
    }

    fn end_trials(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let passed: Vec<UpstreamId> = self
            .records
            .iter()
            .filter(|(_, record)| record.status() == Status::Trial && record.has_passed_trial())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in passed {
            self.readmit(now, &upstream, Reason::Tried, outputs);
        }
    }

    fn start_trials(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        for (upstream, record) in &mut self.records {
            if record.status() == Status::Ejected && record.backoff().is_over(now) {
                record.start_trial();
                outputs.push(Output::Trial { upstream: upstream.clone() });
            }
        }
    }

    fn share_evidence(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.next_share_at {
            return;
        }
        self.next_share_at = now + Self::SHARE_INTERVAL;
        let items: Vec<_> = self
            .records
            .iter()
            .filter_map(|(upstream, record)| record.item(now, upstream))
            .collect();
        if !items.is_empty() {
            outputs.push(Output::Share(Digest { from: self.name.clone(), items }));
        }
    }

    /// Sends weak evidence to the home entries of the upstreams.
    fn send_home(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.next_home_at {
            return;
        }
        for (upstream, record) in &self.records {
            if let Some(item) = record.home_item(now, upstream) {
                let digest = Digest { from: self.name.clone(), items: vec![item] };
                outputs.push(Output::Tell { digest, upstream: upstream.clone() });
                self.next_home_at = now + Self::HOME_INTERVAL;
            }
        }
    }
}
