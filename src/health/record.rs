use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;
use crate::health::Baseline;
use crate::health::Evidence;
use crate::health::Item;
use crate::health::Kind;
use crate::health::Reason;
use crate::health::Setup;
use crate::health::Verdict;
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
    failing: Evidence,
    hold: Hold,
    kept: Option<Reason>,
    pending: f64,
    question_until: Moment,
    recent: Recent,
    remote: BTreeMap<NodeId, (Moment, Item)>,
    reports_ill: bool,
    since: Option<Moment>,
    slots: u32,
    slow: Evidence,
    slow_rounds: u32,
    state: Verdict,
    trial_outcomes: u32,
}

impl Record {
    /// Age at which another entry's evidence is dropped: more than two intervals,
    /// so that one lost message changes nothing.
    const FRESH: Duration = Duration::from_millis(700);
    /// How long an upstream stays in question after the last suspicion.
    const QUESTION: Duration = Duration::from_secs(1);
    /// Slowness alone that returns after this many holds is taken as usual:
    /// slow and sound is better than lost, and the balance gives it less.
    const RELEARN: u32 = 3;
    /// Weight of the upstream's own word that it is ill, in nats: far below any
    /// threshold, as the word lags or misleads. That it is well counts nothing.
    const REPORT: f64 = 1.5;
    /// Evidence at which the other entries are asked, in nats: two failures in a
    /// row. A single failure is an everyday matter and is not worth messages.
    const SHARE: f64 = 5.0;
    /// Outcomes that a trial needs.
    const TRIAL: u32 = 5;
    /// Evidence below which a trial passes: less than one failure.
    const TRIAL_DOUBT: f64 = 2.0;

    pub(crate) fn new(slots: u32) -> Self {
        Self {
            badness: 0.0,
            baseline: Baseline::default(),
            failing: Evidence::default(),
            hold: Hold::default(),
            kept: None,
            pending: 0.0,
            question_until: Moment::ZERO,
            recent: Recent::default(),
            remote: BTreeMap::new(),
            reports_ill: false,
            since: None,
            slots: slots.max(1),
            slow: Evidence::default(),
            slow_rounds: 0,
            state: Verdict::Sound,
            trial_outcomes: 0,
        }
    }

    /// How bad it is, from 0 (sound) to 2, for choosing whom to keep at the floor.
    pub(crate) fn badness(&self) -> f64 {
        self.badness
    }

    /// What convicts it at the moment, whether or not for long enough.
    pub(crate) fn conviction(&self, setup: &Setup) -> Option<Reason> {
        let bar = self.own_bar(setup);
        let pooled_bar = setup.pooled_threshold();
        let is_failing = self.own_failing() >= bar && self.failing.windows()[0] >= 0.0;
        let is_slow = self.own_slow() >= bar && self.slow_windows()[0] >= 0.0;
        let slow = self.pooled(self.slow_windows(), |item| item.slow, pooled_bar);
        let failing = self.pooled(self.failing.windows(), |item| item.failing, pooled_bar);
        if is_failing || failing {
            Some(Reason::Failing)
        } else if is_slow || slow {
            Some(Reason::Slow)
        } else {
            None
        }
    }

    pub(crate) fn eject(&mut self, now: Moment, reason: Reason, random: &mut ChaCha8Rng) {
        self.slow_rounds = if reason == Reason::Slow { self.slow_rounds + 1 } else { 0 };
        if self.slow_rounds > Self::RELEARN {
            self.baseline.forget_latency();
            self.slow_rounds = 0;
        }
        self.state = Verdict::Ejected;
        self.hold.start(now, random);
        self.clear();
    }

    pub(crate) fn hear(&mut self, now: Moment, from: &NodeId, item: Item) {
        let worst = item.failing.iter().chain(&item.slow).copied().fold(0.0, f32::max);
        if f64::from(worst) >= Self::SHARE {
            self.question_until = now + Self::QUESTION;
            if self.state == Verdict::Ejected {
                self.hold.postpone(now);
            }
        }
        self.remote.insert(from.clone(), (now, item));
    }

    pub(crate) fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Whether evidence has reached half of what convicts.
    pub(crate) fn is_suspect(&self, setup: &Setup) -> bool {
        self.own_failing().max(self.own_slow()) >= setup.own_threshold() / 2.0
    }

    /// Evidence for the other entries, if the upstream is in question.
    pub(crate) fn item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        if now >= self.question_until || self.failing.count() + self.slow.count() == 0 {
            return None;
        }
        Some(Item {
            failing: self.failing.windows().map(|sum| sum as f32),
            slow: self.slow_windows().map(|sum| sum as f32),
            upstream: upstream.clone(),
        })
    }

    /// Remembers that it was kept; true when that is news.
    pub(crate) fn keep(&mut self, reason: Reason) -> bool {
        self.kept.replace(reason) != Some(reason)
    }

    pub(crate) fn outcome(&mut self, now: Moment, kind: Kind, latency: Duration, peers: Peers) {
        if kind == Kind::Refused || self.state == Verdict::Ejected {
            return;
        }
        let is_failure = kind.is_failure();
        let is_known = !is_failure && self.baseline.is_ready();
        let excess = is_known.then(|| self.baseline.excess(latency));
        let step =
            likelihood::failing(is_failure, self.baseline.failure_rate(), peers.failure_rate);
        self.failing.add(now, step);
        if let Some(excess) = excess {
            self.slow.add(now, likelihood::slow(excess - peers.shift, self.baseline.spread()));
        }
        self.recent.add(now, is_failure, excess);
        self.trial_outcomes += 1;
        self.badness = self.recent_badness(peers);
    }

    /// Evidence of requests that still wait for their first byte.
    pub(crate) fn pending(&mut self, ages: &[Duration], peers: Peers) {
        self.pending = 0.0;
        if !self.baseline.is_ready() || self.state == Verdict::Ejected {
            return;
        }
        for age in ages {
            let excess = self.baseline.excess(*age) - peers.shift;
            self.pending += likelihood::waiting(excess, self.baseline.spread());
        }
    }

    /// Learns an outcome as usual, unless the upstream is under suspicion: a slow
    /// decline must not become the measure it is judged by.
    pub(crate) fn learn(&mut self, setup: &Setup, kind: Kind, latency: Duration) {
        let is_usual = self.state == Verdict::Sound && !self.is_suspect(setup);
        if is_usual && kind != Kind::Refused {
            self.baseline.learn(kind.is_failure(), latency);
        }
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
        self.reports_ill = !healthy;
    }

    /// Moves windows on and drops old words of other entries.
    pub(crate) fn roll(&mut self, now: Moment) {
        self.failing.roll(now);
        self.slow.roll(now);
        self.recent.fade(now);
        self.remote.retain(|_, (at, _)| now.saturating_sub(*at) <= Self::FRESH);
        if self.own_failing().max(self.own_slow()) >= Self::SHARE {
            self.question_until = now + Self::QUESTION;
        }
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

    /// Since when it has been convicted without a break.
    pub(crate) fn stand(&mut self, now: Moment, is_convicted: bool) -> Option<Moment> {
        if is_convicted {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
            self.kept = None;
        }
        self.since
    }

    pub(crate) fn trial_passed(&self) -> bool {
        let doubt = self.own_failing().max(self.own_slow());
        self.trial_outcomes >= Self::TRIAL && doubt < Self::TRIAL_DOUBT
    }

    fn clear(&mut self) {
        self.failing.reset();
        self.slow.reset();
        self.remote.clear();
        self.recent = Recent::default();
        self.kept = None;
        self.pending = 0.0;
        self.since = None;
        self.trial_outcomes = 0;
    }

    /// A trial needs half: the upstream has been convicted before.
    fn own_bar(&self, setup: &Setup) -> f64 {
        if self.state == Verdict::Trial {
            setup.own_threshold() / 2.0
        } else {
            setup.own_threshold()
        }
    }

    fn own_failing(&self) -> f64 {
        let word = if self.reports_ill { Self::REPORT } else { 0.0 };
        self.failing.sum() + word
    }

    fn own_slow(&self) -> f64 {
        self.slow.sum() + self.pending
    }

    /// Whether all entries together convict it. One entry's word is bounded to a
    /// third of the threshold, so that a fault on its own path convicts nobody
    /// elsewhere; and an entry that sees it well right now isn't overruled.
    fn pooled(&self, own: [f64; 3], of: fn(&Item) -> [f32; 3], bar: f64) -> bool {
        const SEEN_WELL: f64 = -3.0;
        if own[0] <= SEEN_WELL {
            return false;
        }
        let cap = bar / 3.0;
        let mut sums = own.map(|sum| sum.clamp(-cap, cap));
        for (_, item) in self.remote.values() {
            for (sum, theirs) in sums.iter_mut().zip(of(item)) {
                *sum += f64::from(theirs).clamp(-cap, cap);
            }
        }
        sums[0] >= 0.0 && sums.iter().any(|sum| *sum >= bar)
    }

    fn recent_badness(&self, peers: Peers) -> f64 {
        let slower = (self.recent.excess() - peers.shift) / std::f64::consts::LN_10;
        self.recent.failure_rate() + slower.clamp(0.0, 1.0)
    }

    fn slow_windows(&self) -> [f64; 3] {
        self.slow.windows().map(|sum| sum + self.pending)
    }
}
