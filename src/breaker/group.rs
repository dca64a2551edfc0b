//! The breakers of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Cause;
use super::Circuit;
use super::Counts;
use super::ErrorHistory;
use super::Losses;
use super::OutageHistory;
use super::State;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Pause between two trials of one upstream by all entries together: of the idempotent
/// requests, a seventh to a quarter of all, a third of the upstreams take a third so.
const TRIAL_EVERY: Duration = Duration::from_millis(250);
/// The same once a trial has gone well: the fault is probably over, and the others may follow.
const TRIAL_SOON: Duration = Duration::from_millis(150);
/// Likelihood that an outage is over from which on an idempotent request is spent on it: it can
/// be sent again, and an upstream that stays out leaves its work to the others.
const OVER: f64 = 0.15;
/// Longest after the last failure until then: what lasted long of late need not do so again.
const TRY_MOST: Duration = Duration::from_millis(1500);
/// Likelihood that an outage is over from which on a request that may run only once is spent on
/// it. A service that gets nothing else has nobody to try its upstreams: closed by the clock,
/// after 4.5 s to 18 s, breakers kept out a third of the upstreams that were sound.
const OVER_ONCE: f64 = 0.5;
/// Time since the last failure until then, where nothing is known of outages, and its bounds.
const ONCE_USUAL: Duration = Duration::from_secs(3);
const ONCE_LEAST: Duration = Duration::from_secs(1);
const ONCE_MOST: Duration = Duration::from_secs(8);
/// The most where the service loses many requests although upstreams are out: those that are
/// well must take work then, and operators count one as sound again 2 s after it failed. Within
/// another 2 s it gets a request so.
const ONCE_PRESSED: Duration = Duration::from_millis(2800);
/// Pause between two trials by requests that may run once, of all entries together. A fault
/// that holds what it gets shows after a second: four trials a second lost four requests until
/// all entries knew.
const ONCE_EVERY: Duration = Duration::from_secs(1);
/// The same where one should have come by now. Only where answers are broken: that shows at once,
/// and the others hold back before their turn.
const ONCE_SOON: Duration = Duration::from_millis(300);
/// A trial should have come so long after it began to be due under pressure.
const ONCE_LATE: Duration = Duration::from_millis(500);
/// How long what idempotent requests showed counts.
const HELPED: Duration = Duration::from_secs(5);
/// An upstream whose answers take this many times as long as those of the median upstream is
/// slow: usual ones differ by less, also when some of them are busy.
const SLOW: f64 = 2.2;
/// Answers within the window that show how fast an upstream is.
const SHOWN: u32 = 4;
/// Share of its usual work that a slow upstream gets: enough to see when it is fast again.
const SLOW_WEIGHT: f64 = 0.15;

/// Share of hung requests at the other upstreams from which on the service is taken to have
/// more work than they can do: a group of a tenth of them that hangs half of its requests
/// comes to less, as it gets little work once it is found.
const CROWDED: f64 = 0.06;

/// An answer that comes later than this after an error tells nothing of it.
const FOLLOWING: Duration = Duration::from_secs(2);

/// An upstream that a request may try.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trial {
    /// Whether it is worth a request that may run only once.
    pub allows_any: bool,
    /// Counts the trials of this entry: each is made once.
    pub number: u64,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// The breakers of one service, at one entry.
#[derive(Clone, Debug)]
pub struct Group {
    circuits: BTreeMap<UpstreamId, Member>,
    entries: usize,
    errors: ErrorHistory,
    floor: f64,
    /// When a trial by an idempotent request last went well.
    helped_at: Option<Moment>,
    outages: OutageHistory,
    losses: Losses,
    random: ChaCha8Rng,
    trials: u64,
}

#[derive(Clone, Debug)]
struct Member {
    /// Whether requests that may run only once make its trials.
    allows_any: bool,
    circuit: Circuit,
    /// When its last answer was an error, after one that was none.
    erred_at: Option<Moment>,
    /// Whether a trial by requests that may run only once should have come by now.
    is_late: bool,
    /// When requests that may run only once begin to make its trials, as things are.
    once_due: Moment,
    /// The same, by what is known of outages.
    once_from: Moment,
    /// Trials that had gone well when the next one was set.
    passed: u32,
    slots: u32,
    trial_at: Moment,
    trial: Option<u64>,
    /// When its trials begin.
    try_from: Moment,
}

impl Group {
    /// A service without upstreams; `floor` is the share of its slots that stay in use.
    pub fn new(floor: f64, random: ChaCha8Rng) -> Self {
        Self {
            circuits: BTreeMap::new(),
            entries: 1,
            errors: ErrorHistory::default(),
            floor,
            helped_at: None,
            outages: OutageHistory::default(),
            losses: Losses::default(),
            random,
            trials: 0,
        }
    }

    /// Sets the share of the slots that stay in use.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Sets how many entries share the trials.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// An upstream takes work.
    pub fn join(&mut self, upstream: UpstreamId, slots: u32) {
        let fresh = Member {
            allows_any: false,
            circuit: Circuit::default(),
            erred_at: None,
            is_late: false,
            once_due: Moment::ZERO,
            once_from: Moment::ZERO,
            passed: 0,
            slots,
            trial_at: Moment::ZERO,
            trial: None,
            try_from: Moment::ZERO,
        };
        self.circuits.entry(upstream).or_insert(fresh).slots = slots;
    }

    /// An upstream is gone.
    pub fn leave(&mut self, upstream: &UpstreamId) {
        self.circuits.remove(upstream);
    }

    /// Takes what callers received here; whether the upstream's state changed.
    pub fn record_own(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) -> bool {
        self.look_for_crowd(now, upstream, counts);
        self.look_for_help(now, upstream, counts);
        self.look_for_errors(now, upstream, counts);
        self.with(upstream, |circuit| circuit.record_own(now, counts))
    }

    /// Whether an upstream is back because a request that took it out was only slow. Other entries
    /// have to be told.
    pub fn was_cleared(&self, upstream: &UpstreamId) -> bool {
        self.circuits.get(upstream).is_some_and(|member| member.circuit.was_cleared())
    }

    /// Takes what callers received at other entries; whether the upstream's state changed.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) -> bool {
        self.look_for_crowd(now, upstream, counts);
        self.look_for_help(now, upstream, counts);
        self.look_for_errors(now, upstream, counts);
        self.with(upstream, |circuit| circuit.record(now, counts))
    }

    /// Whether callers of other entries lately got whole answers of it, and nothing broken.
    pub fn serves_others(&self, now: Moment, upstream: &UpstreamId) -> bool {
        self.circuits.get(upstream).is_some_and(|member| member.circuit.serves_others(now))
    }

    /// Before a hung request is judged: whether it is the service that is full.
    fn look_for_crowd(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        if counts.hung == 0 {
            return;
        }
        let mut sum = Counts::default();
        let others = self.circuits.iter().filter(|(id, _)| *id != upstream);
        others.for_each(|(_, member)| sum.add(&member.circuit.recent_at(now)));
        let crowded = f64::from(sum.hung) > CROWDED * f64::from(sum.ended());
        if let Some(member) = self.circuits.get_mut(upstream) {
            member.circuit.set_crowded(crowded);
        }
    }

    /// Whether idempotent requests make trials here, so that others need not.
    fn look_for_help(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        if counts.spared > 0 && self.circuits.contains_key(upstream) {
            self.helped_at = Some(now);
        }
    }

    /// Whether an upstream's error is a sign of a fault here.
    pub fn has_recurring_errors(&self) -> bool {
        self.errors.is_recurring()
    }

    /// Whether an error follows on one.
    fn look_for_errors(&mut self, now: Moment, upstream: &UpstreamId, counts: &Counts) {
        let Some(member) = self.circuits.get_mut(upstream) else { return };
        if counts.ended() == 0 {
            return;
        }
        let failed = counts.failed > counts.answered;
        match member.erred_at.take() {
            Some(at) if now < at + FOLLOWING => self.errors.add(failed),
            _ if counts.failed > 1 && failed => self.errors.add(true),
            _ if counts.failed > 0 && member.circuit.state() == State::Closed => {
                member.erred_at = Some(now);
            }
            _ => {}
        }
    }

    fn with(&mut self, upstream: &UpstreamId, note: impl FnOnce(&mut Circuit)) -> bool {
        let Some(member) = self.circuits.get_mut(upstream) else { return false };
        let before = member.circuit.state();
        member.circuit.set_doubts(self.errors.is_recurring());
        note(&mut member.circuit);
        let after = member.circuit.state();
        if after != before && matches!(after, State::Open { .. }) {
            member.trial = None;
        }
        if after != before && after == State::Closed && !member.circuit.was_cleared() {
            self.outages.add(member.circuit.lasted());
        }
        after != before
    }

    /// Moves on with time; whether any state changed.
    pub fn tick(&mut self, now: Moment) -> bool {
        let mut changed = false;
        let helped = self.helped_at.is_some_and(|at| now < at + HELPED);
        self.losses.update(now, self.circuits.values().map(|member| member.circuit.recent()));
        for member in self.circuits.values_mut() {
            let before = member.circuit.state();
            member.circuit.tick(now);
            let after = member.circuit.state();
            changed |= after != before;
            let State::HalfOpen { passed, .. } = after else {
                member.allows_any = false;
                member.trial = None;
                member.trial_at = Moment::MAX;
                member.passed = 0;
                continue;
            };
            if !matches!(before, State::HalfOpen { .. }) {
                (member.try_from, member.once_from) = moments(&self.outages, &member.circuit);
            }
            let failed_at = member.circuit.outage().1;
            let is_high = self.losses.is_high(now);
            let most = if is_high { ONCE_PRESSED } else { ONCE_MOST };
            let is_broken = member.circuit.cause() == Cause::Broken;
            let is_late = is_high && is_broken && now >= failed_at + ONCE_PRESSED + ONCE_LATE;
            let every = match member.allows_any {
                _ if passed > 0 => TRIAL_SOON,
                true if is_late => ONCE_SOON,
                true => ONCE_EVERY,
                false => TRIAL_EVERY,
            };
            let spread = every * self.entries as u32;
            if passed != member.passed || is_late != member.is_late {
                member.passed = passed;
                member.is_late = is_late;
                member.trial_at = Moment::MAX;
            }
            let wanted = if helped { failed_at + ONCE_MOST } else { member.once_from };
            member.once_due = wanted.min(failed_at + most);
            if !member.allows_any && now >= member.once_due {
                // Many entries hold a trial that no request has made by now: drawn anew, they
                // come one after the other.
                member.allows_any = true;
                member.trial = None;
                member.trial_at = Moment::MAX;
                changed = true;
            }
            if member.trial_at == Moment::MAX && now >= member.try_from {
                // Each entry waits for a share of its own, so that all together try at the
                // pace meant.
                member.trial_at = now + spread.mul_f64(self.random.random_range(0.0..1.0));
            }
            if member.trial_at <= now {
                self.trials += 1;
                member.trial = Some(self.trials);
                member.trial_at = now + spread;
                changed = true;
            }
        }
        changed
    }

    /// When it wants to be told the time.
    pub fn wake(&self) -> Option<Moment> {
        let due = |member: &Member| match member.circuit.state() {
            State::HalfOpen { .. } => {
                let is_set = member.trial_at != Moment::MAX;
                let next = if is_set { member.trial_at } else { member.try_from };
                Some(if member.allows_any { next } else { next.min(member.once_due) })
            }
            _ => member.circuit.wake(),
        };
        self.circuits.values().filter_map(due).min()
    }

    /// Trials that are due here.
    pub fn trials(&self) -> Vec<Trial> {
        let due = |(upstream, member): (&UpstreamId, &Member)| {
            let allows_any = member.allows_any;
            member.trial.map(|number| Trial { allows_any, number, upstream: upstream.clone() })
        };
        self.circuits.iter().filter_map(due).collect()
    }

    /// Share of its usual work that each upstream gets, where that isn't all.
    pub fn weights(&self) -> BTreeMap<UpstreamId, f64> {
        let mut weights = self.slow();
        weights.extend(self.out().into_iter().map(|id| (id.clone(), 0.0)));
        weights
    }

    /// Upstreams whose breaker is open and that stay in use: the last to be chosen. Those that a
    /// single error speaks against stay, and those that the floor keeps, which have broken nothing
    /// for longest.
    pub fn suspects(&self) -> BTreeSet<UpstreamId> {
        let out = self.out();
        self.open().map(|(id, _)| id).filter(|id| !out.contains(id)).cloned().collect()
    }

    fn out(&self) -> BTreeSet<&UpstreamId> {
        let all: u64 = self.circuits.values().map(|member| u64::from(member.slots)).sum();
        let may_go = all - (all as f64 * self.floor).ceil() as u64;
        let is_certain = |(_, member): &(&UpstreamId, &Member)| !member.circuit.is_doubted();
        let mut open: Vec<(&UpstreamId, &Member)> = self.open().filter(is_certain).collect();
        open.sort_by_key(|(_, member)| std::cmp::Reverse(member.circuit.broken_at()));
        let mut gone = 0;
        let mut fits = |(_, member): &(&UpstreamId, &Member)| {
            gone += u64::from(member.slots);
            gone <= may_go
        };
        open.into_iter().take_while(|one| fits(one)).map(|(id, _)| id).collect()
    }

    fn open(&self) -> impl Iterator<Item = (&UpstreamId, &Member)> {
        self.circuits.iter().filter(|(_, member)| member.circuit.state() != State::Closed)
    }

    /// State of an upstream's breaker.
    pub fn state(&self, upstream: &UpstreamId) -> State {
        self.circuits.get(upstream).map_or(State::Closed, |member| member.circuit.state())
    }

    /// What took an upstream out, the last time; `None` where it is not known.
    pub fn cause(&self, upstream: &UpstreamId) -> Option<Cause> {
        self.circuits.get(upstream).map(|member| member.circuit.cause())
    }

    /// Usual time until an answer: that of the median upstream.
    pub fn median_latency(&self) -> Option<Duration> {
        let median = median(self.means().into_iter().map(|(_, mean)| mean).collect())?;
        Some(Duration::from_secs_f64(median / 1000.0))
    }

    /// Mean time until an answer, in milliseconds, of upstreams that have shown it.
    fn means(&self) -> Vec<(&UpstreamId, f64)> {
        let mean = |member: &Member| {
            let recent = member.circuit.recent();
            let shown = recent.answered >= SHOWN;
            shown.then(|| recent.millis as f64 / f64::from(recent.answered))
        };
        self.circuits.iter().filter_map(|(id, member)| Some((id, mean(member)?))).collect()
    }

    fn slow(&self) -> BTreeMap<UpstreamId, f64> {
        let means = self.means();
        let Some(median) = median(means.iter().map(|(_, mean)| *mean).collect()) else {
            return BTreeMap::new();
        };
        let slow = means.into_iter().filter(|(_, mean)| *mean > SLOW * median);
        slow.map(|(id, _)| (id.clone(), SLOW_WEIGHT)).collect()
    }
}

/// When trials of an upstream begin: by idempotent requests, and by those that may run once.
fn moments(outages: &OutageHistory, circuit: &Circuit) -> (Moment, Moment) {
    let (opened_at, failed_at) = circuit.outage();
    let lasted = failed_at.saturating_sub(opened_at);
    let over_at = |likelihood| outages.over_at(lasted, likelihood).map(|age| opened_at + age);
    let try_from = over_at(OVER).unwrap_or(failed_at).min(failed_at + TRY_MOST);
    let once_from = over_at(OVER_ONCE).unwrap_or(failed_at + ONCE_USUAL);
    (try_from, once_from.clamp(failed_at + ONCE_LEAST, failed_at + ONCE_MOST))
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
