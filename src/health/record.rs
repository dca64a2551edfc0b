use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health::Baseline;
use crate::health::Item;
use crate::health::Kind;
use crate::health::Reason;
use crate::health::Setup;
use crate::health::Verdict;
use crate::health::aspect::Aspect;
use crate::health::case::Case;
use crate::health::hold::Hold;
use crate::health::likelihood;
use crate::health::peers::Peers;
use crate::health::recent::Recent;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// What a judge knows of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    badness: f64,
    baseline: Baseline,
    case: Case,
    hold: Hold,
    kept: Option<Reason>,
    recent: Recent,
    slots: u32,
    slow_rounds: u32,
    state: Verdict,
    trial_outcomes: u32,
}

impl Record {
    /// Share of the newest outcome in the badness: four failures in a row, which
    /// convict, show as such.
    const NEWEST: f64 = 0.3;
    /// Slowness alone that returns after this many holds is taken as usual:
    /// slow and sound is better than lost, and the balance gives it less.
    const RELEARN: u32 = 3;
    /// Outcomes that a trial needs.
    const TRIAL: u32 = 5;
    /// Evidence below which a trial passes: less than one failure.
    const TRIAL_DOUBT: f64 = 2.0;

    pub(crate) fn new(slots: u32) -> Self {
        Self {
            badness: 0.0,
            baseline: Baseline::default(),
            case: Case::default(),
            hold: Hold::default(),
            kept: None,
            recent: Recent::default(),
            slots: slots.max(1),
            slow_rounds: 0,
            state: Verdict::Sound,
            trial_outcomes: 0,
        }
    }

    /// How bad it is, from 0 (sound) to 1 (every request fails, or takes ten times
    /// as long), for choosing whom to keep at the floor.
    pub(crate) fn badness(&self) -> f64 {
        self.badness
    }

    /// What convicts it. A trial needs half of the evidence, as the upstream has
    /// been convicted before.
    pub(crate) fn conviction(&mut self, now: Moment, setup: &Setup) -> Option<Reason> {
        let part = if self.state == Verdict::Trial { 0.5 } else { 1.0 };
        let aspect = self.case.conviction(now, setup, setup.own_threshold() * part);
        if aspect.is_none() {
            self.kept = None;
        }
        aspect.map(Aspect::reason)
    }

    pub(crate) fn eject(&mut self, now: Moment, reason: Reason, random: &mut ChaCha8Rng) {
        self.slow_rounds = if reason == Reason::Slow { self.slow_rounds + 1 } else { 0 };
        if self.slow_rounds > Self::RELEARN {
            self.baseline.forget_latency();
            self.slow_rounds = 0;
        }
        self.state = Verdict::Ejected;
        self.hold.start(now, random);
        self.case.close(now);
        self.clear_counts();
    }

    pub(crate) fn hear(&mut self, now: Moment, from: &NodeId, item: Item) {
        let is_suspicious = self.case.hear(now, from, item);
        if is_suspicious && self.state == Verdict::Ejected {
            self.hold.postpone(now);
        }
    }

    pub(crate) fn hold(&self) -> &Hold {
        &self.hold
    }

    pub(crate) fn is_serving(&self) -> bool {
        matches!(self.state, Verdict::Sound | Verdict::Suspect)
    }

    /// Whether evidence has reached half of what convicts.
    pub(crate) fn is_suspect(&self, setup: &Setup) -> bool {
        self.case.is_half_way(setup)
    }

    /// Evidence for the other entries, if the upstream is in question.
    pub(crate) fn item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        self.case.item(now, upstream)
    }

    /// Remembers that it was kept; true when that is news.
    pub(crate) fn keep(&mut self, reason: Reason) -> bool {
        self.kept.replace(reason) != Some(reason)
    }

    /// Learns an outcome as usual, unless the upstream is under suspicion: a slow
    /// decline must not become the measure it is judged by.
    pub(crate) fn learn(&mut self, setup: &Setup, kind: Kind, latency: Duration) {
        let is_usual = self.state == Verdict::Sound && !self.is_suspect(setup);
        if is_usual && kind != Kind::Refused {
            self.baseline.learn(kind.is_failure(), latency);
        }
    }

    pub(crate) fn outcome(&mut self, now: Moment, kind: Kind, latency: Duration, peers: Peers) {
        if kind == Kind::Refused || self.state == Verdict::Ejected {
            return;
        }
        let failure = Aspect::of(kind);
        let past = self.baseline.failure_rate();
        for aspect in [Aspect::Failing, Aspect::Silent] {
            let is_hit = failure == Some(aspect);
            if is_hit || failure.is_none() {
                self.case.add(now, aspect, likelihood::failing(is_hit, past, peers.failure_rate));
            }
        }
        let is_known = failure.is_none() && self.baseline.is_ready();
        let excess = is_known.then(|| self.baseline.excess(latency));
        if let Some(excess) = excess {
            let step = likelihood::slow(excess - peers.shift, self.baseline.spread());
            self.case.add(now, Aspect::Slow, step);
        }
        self.recent.add(now, failure.is_some(), excess);
        self.trial_outcomes += 1;
        self.rate(failure.is_some(), excess, peers);
    }

    /// Takes ages of requests that still wait for their first byte.
    pub(crate) fn pending(&mut self, setup: &Setup, ages: &[Duration], peers: Peers) {
        let is_judged = self.baseline.is_ready() && self.state != Verdict::Ejected;
        let mut pending = 0.0;
        for age in ages.iter().filter(|_| is_judged) {
            let beyond = age.saturating_sub(setup.pause());
            let excess = self.baseline.excess(beyond) - peers.shift;
            pending += likelihood::waiting(excess, self.baseline.spread());
        }
        self.case.set_pending(pending);
    }

    pub(crate) fn readmit(&mut self, now: Moment) {
        self.state = Verdict::Sound;
        self.hold.restart(now);
        self.clear();
    }

    pub(crate) fn recent(&self) -> &Recent {
        &self.recent
    }

    pub(crate) fn report(&mut self, healthy: bool) {
        self.case.report(healthy);
    }

    pub(crate) fn roll(&mut self, now: Moment) {
        self.case.roll(now);
        self.recent.fade(now);
        if self.is_serving() {
            self.hold.forgive(now);
        }
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    pub(crate) fn start_trial(&mut self) {
        self.state = Verdict::Trial;
        self.clear();
    }

    pub(crate) fn state(&self) -> Verdict {
        self.state
    }

    /// Evidence for the upstream's home.
    pub(crate) fn told(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        self.case.told(now, upstream)
    }

    pub(crate) fn trial_passed(&self) -> bool {
        self.trial_outcomes >= Self::TRIAL && self.case.doubt() < Self::TRIAL_DOUBT
    }

    fn clear(&mut self) {
        self.case.clear();
        self.clear_counts();
    }

    fn clear_counts(&mut self) {
        self.recent = Recent::default();
        self.kept = None;
        self.trial_outcomes = 0;
    }

    /// Moves the badness towards that of one outcome.
    fn rate(&mut self, is_failure: bool, excess: Option<f64>, peers: Peers) {
        let slower = (excess.unwrap_or_default() - peers.shift) / std::f64::consts::LN_10;
        let score = if is_failure { 1.0 } else { slower.clamp(0.0, 1.0) };
        self.badness += Self::NEWEST * (score - self.badness);
    }
}
