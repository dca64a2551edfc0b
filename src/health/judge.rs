use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health::Digest;
use crate::health::Input;
use crate::health::Output;
use crate::health::Reason;
use crate::health::Setup;
use crate::health::Verdict;
use crate::health::floor::Floor;
use crate::health::peers::Peers;
use crate::health::record::Record;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// Judges the upstreams of one service, as one entry sees them.
#[derive(Clone, Debug)]
pub struct Judge {
    name: NodeId,
    peers: Peers,
    random: ChaCha8Rng,
    records: BTreeMap<UpstreamId, Record>,
    setup: Setup,
    share_at: Moment,
    tell_at: Moment,
}

impl Judge {
    /// Badness by which an ejected upstream must be better to take the place of
    /// one in service; less would swap equals back and forth.
    const BETTER: f64 = 0.4;
    /// Time between two digests while an upstream is in question, which is rare:
    /// with ticks in between, detection would wait for both.
    const SHARE: Duration = Setup::TICK;
    /// Time between two words to an upstream's home.
    const TELL: Duration = Duration::from_secs(1);
    /// Share of bad upstreams from which the cause is taken to lie elsewhere.
    const SHARED: f64 = 0.6;

    /// A judge in the entry `name`.
    #[must_use]
    pub fn new(name: NodeId, setup: Setup, random: ChaCha8Rng) -> Self {
        Self {
            name,
            peers: Peers::default(),
            random,
            records: BTreeMap::new(),
            setup,
            share_at: Moment::ZERO,
            tell_at: Moment::ZERO,
        }
    }

    /// Takes one input at `now`; moments must not go back.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Digest(digest) => self.hear(now, digest),
            Input::Gone { upstream } => {
                self.records.remove(&upstream);
                self.restore(now, &mut outputs);
            }
            Input::Member { slots, upstream, .. } => {
                let record = self.records.entry(upstream).or_insert_with(|| Record::new(slots));
                record.set_slots(slots);
                self.restore(now, &mut outputs);
            }
            Input::Outcome { kind, latency, upstream } => {
                if let Some(record) = self.records.get_mut(&upstream) {
                    record.outcome(now, kind, latency, self.peers);
                    record.learn(&self.setup, kind, latency);
                }
            }
            Input::Pending { ages, upstream } => {
                if let Some(record) = self.records.get_mut(&upstream) {
                    record.pending(&self.setup, &ages, self.peers);
                }
            }
            Input::Report { healthy, upstream } => {
                if let Some(record) = self.records.get_mut(&upstream) {
                    record.report(healthy);
                }
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Changes what the operator set.
    pub fn set_setup(&mut self, now: Moment, setup: Setup) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.setup = setup;
        self.restore(now, &mut outputs);
        outputs
    }

    /// What is held of an upstream; an unknown one is sound.
    #[must_use]
    pub fn verdict(&self, upstream: &str) -> Verdict {
        match self.records.get(upstream) {
            Some(record) if record.state() == Verdict::Sound && record.is_suspect(&self.setup) => {
                Verdict::Suspect
            }
            Some(record) => record.state(),
            None => Verdict::Sound,
        }
    }

    /// All upstreams with their verdicts, in order of name.
    pub fn verdicts(&self) -> impl Iterator<Item = (&UpstreamId, Verdict)> {
        self.records.keys().map(|upstream| (upstream, self.verdict(upstream)))
    }

    /// Share of its usual work that an upstream should get.
    #[must_use]
    pub fn weight(&self, upstream: &str) -> f64 {
        self.verdict(upstream).weight()
    }

    fn hear(&mut self, now: Moment, digest: Digest) {
        if digest.from == self.name {
            return;
        }
        for item in digest.items {
            if let Some(record) = self.records.get_mut(&item.upstream) {
                record.hear(now, &digest.from, item);
            }
        }
    }

    fn tick(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        for record in self.records.values_mut() {
            record.roll(now);
        }
        self.peers = Peers::of(self.records.values());
        self.end_trials(now, outputs);
        self.convict(now, outputs);
        self.start_trials(now, outputs);
        self.restore(now, outputs);
        self.share(now, outputs);
        self.tell(now, outputs);
    }

    /// Ejects those convicted for long enough, the worst first.
    fn convict(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let mut convicted = self.convicted(now);
        convicted.sort_by(|(left, ..), (right, ..)| right.total_cmp(left));
        for (_, upstream, reason) in convicted {
            let refusal = self.eject(now, &upstream, reason, outputs);
            if let Some(reason) = refusal
                && let Some(record) = self.records.get_mut(&upstream)
                && record.keep(reason)
            {
                outputs.push(Output::Kept { reason, upstream });
            }
        }
    }

    fn convicted(&mut self, now: Moment) -> Vec<(f64, UpstreamId, Reason)> {
        let mut convicted = Vec::new();
        for (upstream, record) in &mut self.records {
            if record.state() == Verdict::Ejected {
                continue;
            }
            if let Some(reason) = record.conviction(now, &self.setup) {
                convicted.push((record.badness(), upstream.clone(), reason));
            }
        }
        convicted
    }

    /// Ejects one if it may go, and otherwise tells why it stays.
    fn eject(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        reason: Reason,
        outputs: &mut Vec<Output>,
    ) -> Option<Reason> {
        let record = self.records.get(upstream)?;
        let is_serving = record.is_serving();
        if is_serving && (self.peers.share(reason) || self.is_shared()) {
            return Some(Reason::Shared);
        }
        let floor = Floor::of(&self.setup, self.records.values());
        if is_serving && !floor.allows(record, None) {
            let Some(better) = self.better_than(record, floor) else {
                return Some(Reason::Floor);
            };
            self.readmit(now, &better, Reason::Floor, outputs);
        }
        let record = self.records.get_mut(upstream)?;
        record.eject(now, reason, &mut self.random);
        outputs.push(Output::Eject { reason, upstream: upstream.clone() });
        None
    }

    /// The best ejected upstream that can take the place of `worse` at the floor.
    fn better_than(&self, worse: &Record, floor: Floor) -> Option<UpstreamId> {
        self.records
            .iter()
            .filter(|(_, record)| !record.is_serving() && floor.allows(worse, Some(record)))
            .filter(|(_, record)| record.badness() + Self::BETTER < worse.badness())
            .min_by(|(_, left), (_, right)| left.badness().total_cmp(&right.badness()))
            .map(|(upstream, _)| upstream.clone())
    }

    /// Whether so many are bad that no single one is to blame.
    fn is_shared(&self) -> bool {
        let is_bad = |record: &&Record| !record.is_serving() || record.is_suspect(&self.setup);
        let bad = self.records.values().filter(is_bad).count();
        bad as f64 > Self::SHARED * self.records.len() as f64
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

    /// Takes the least bad back into service while the floor is broken, as when
    /// sound upstreams leave after others were ejected.
    fn restore(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while !Floor::of(&self.setup, self.records.values()).holds() {
            let least_bad = self
                .records
                .iter()
                .filter(|(_, record)| !record.is_serving())
                .min_by(|(_, left), (_, right)| {
                    let by_state = left.state().cmp(&right.state());
                    by_state.then(left.badness().total_cmp(&right.badness()))
                })
                .map(|(upstream, _)| upstream.clone());
            let Some(upstream) = least_bad else {
                return;
            };
            self.readmit(now, &upstream, Reason::Floor, outputs);
        }
    }

    fn end_trials(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let passed: Vec<UpstreamId> = self
            .records
            .iter()
            .filter(|(_, record)| record.state() == Verdict::Trial && record.trial_passed())
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in passed {
            self.readmit(now, &upstream, Reason::Tried, outputs);
        }
    }

    fn start_trials(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        for (upstream, record) in &mut self.records {
            if record.state() == Verdict::Ejected && record.hold().is_over(now) {
                record.start_trial();
                outputs.push(Output::Trial { upstream: upstream.clone() });
            }
        }
    }

    fn share(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.share_at {
            return;
        }
        self.share_at = now + Self::SHARE;
        let items: Vec<_> = self
            .records
            .iter()
            .filter_map(|(upstream, record)| record.item(now, upstream))
            .collect();
        if !items.is_empty() {
            outputs.push(Output::Share(Digest { from: self.name.clone(), items }));
        }
    }

    fn tell(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        if now < self.tell_at {
            return;
        }
        for (upstream, record) in &self.records {
            if let Some(item) = record.told(now, upstream) {
                let digest = Digest { from: self.name.clone(), items: vec![item] };
                outputs.push(Output::Tell { digest, upstream: upstream.clone() });
                self.tell_at = now + Self::TELL;
            }
        }
    }
}
