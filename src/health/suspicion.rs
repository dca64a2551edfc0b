use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::health::Config;
use crate::health::Evidence;
use crate::health::Item;
use crate::health::fault::Fault;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// Evidence that one upstream is gray: this entry's own and that of other entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    /// Whether this entry asks the others for their evidence.
    is_query: bool,
    /// This entry's evidence by fault.
    evidence: [Evidence; 3],
    /// The sums that led to an ejection, and until when they are shared. After it
    /// this entry sees no more outcomes, but the others may still need the evidence.
    ejected_with: Option<(Moment, [[i16; 5]; 3])>,
    /// Evidence of requests that still wait.
    pending: f64,
    query_until: Moment,
    remote: BTreeMap<NodeId, (Moment, Item)>,
    reports_unhealthy: bool,
    /// By fault, since when evidence is above its threshold.
    above_since: [Option<Moment>; 3],
}

impl Suspicion {
    /// Evidence that is sent to the upstream's home entry, in nats: one failure.
    const HOME_THRESHOLD: f64 = 3.0;
    /// Age at which another entry's evidence is dropped: longer than the interval
    /// of [`crate::health::Output::Tell`].
    const REMOTE_TTL: Duration = Duration::from_millis(1_200);
    /// How long entries share their evidence after the last query.
    const QUERY_DURATION: Duration = Duration::from_secs(1);
    /// Evidence of a health report that says unhealthy, in nats. Far below any
    /// threshold, as reports lag or are wrong. One that says healthy counts nothing.
    const UNHEALTHY_REPORT: f64 = 1.5;
    /// Evidence at which all entries are queried, in nats: two failures in a row,
    /// at one entry or reported by two. Single failures are too common to send
    /// messages to all entries.
    const QUERY_THRESHOLD: f64 = 5.0;

    pub(crate) fn add(&mut self, now: Moment, fault: Fault, step: f64) {
        self.evidence[fault as usize].add(now, step);
    }

    /// Clears the evidence at an ejection, and keeps its sums to share them.
    pub(crate) fn record_ejection(&mut self, now: Moment) {
        let sums = self.sums();
        self.clear();
        self.ejected_with = Some((now + Self::QUERY_DURATION, sums));
    }

    /// Clears everything except the upstream's health report.
    pub(crate) fn clear(&mut self) {
        let reports_unhealthy = self.reports_unhealthy;
        for evidence in &mut self.evidence {
            evidence.reset();
        }
        let evidence = std::mem::take(&mut self.evidence);
        *self = Self { evidence, reports_unhealthy, ..Self::default() };
    }

    /// The first fault whose evidence has been above its threshold for long enough.
    /// `own_threshold` applies to this entry's evidence alone.
    pub(crate) fn detect(
        &mut self,
        now: Moment,
        config: &Config,
        own_threshold: f64,
    ) -> Option<Fault> {
        if self.is_negligible() {
            self.above_since = [None; 3];
            return None;
        }
        let mut detected = None;
        for fault in Fault::ALL {
            let is_own = self.own(fault) >= own_threshold && self.is_current(fault);
            let is_pooled = self.is_pooled(fault, config.pooled_threshold(fault));
            let above_since = &mut self.above_since[fault as usize];
            if !is_own && !is_pooled {
                *above_since = None;
                continue;
            }
            let since = *above_since.get_or_insert(now);
            let is_lasting = now >= since + config.persistence(fault);
            if is_lasting && (is_own || self.accepts_pooled(fault)) {
                detected = detected.or(Some(fault));
            }
        }
        detected
    }

    /// Strongest evidence of this entry alone, in nats.
    pub(crate) fn max_own(&self) -> f64 {
        Fault::ALL.iter().map(|fault| self.own(*fault)).fold(0.0, f64::max)
    }

    /// Stores another entry's evidence. Returns whether it is a query, which means
    /// that the other entry suspects the upstream.
    pub(crate) fn merge(&mut self, now: Moment, from: &NodeId, item: Item) -> bool {
        let is_query = item.asks;
        if is_query {
            self.query_until = now + Self::QUERY_DURATION;
        }
        self.remote.insert(from.clone(), (now, item));
        is_query
    }

    /// Whether evidence, this entry's or all entries', has reached half of its
    /// threshold.
    pub(crate) fn is_suspect(&self, config: &Config) -> bool {
        if self.is_negligible() {
            return false;
        }
        let is_pooled = |fault: &Fault| {
            self.accepts_pooled(*fault)
                && self.is_pooled(*fault, config.pooled_threshold(*fault) / 2.0)
        };
        self.max_own() >= config.own_threshold() / 2.0 || Fault::ALL.iter().any(is_pooled)
    }

    /// Evidence for all other entries, if there was a recent query or ejection.
    pub(crate) fn item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        if let Some((until, sums)) = self.ejected_with
            && now < until
        {
            return Some(Item { asks: true, sums, upstream: upstream.clone() });
        }
        let is_empty = self.pending <= 0.0 && self.evidence.iter().all(Evidence::is_empty);
        if now >= self.query_until || (is_empty && !self.is_query) {
            return None;
        }
        Some(Item { asks: self.is_query, sums: self.sums(), upstream: upstream.clone() })
    }

    /// Evidence for the upstream's home entry, if it is too weak for all entries.
    pub(crate) fn home_item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        let is_weak = now >= self.query_until && self.max_own() >= Self::HOME_THRESHOLD;
        is_weak.then(|| Item { asks: false, sums: self.sums(), upstream: upstream.clone() })
    }

    pub(crate) fn set_report(&mut self, healthy: bool) {
        self.reports_unhealthy = !healthy;
    }

    /// Advances the windows, drops expired evidence of other entries and decides
    /// whether to query all of them.
    pub(crate) fn roll(&mut self, now: Moment) {
        for evidence in &mut self.evidence {
            evidence.roll(now);
        }
        self.remote.retain(|_, (at, _)| now.saturating_sub(*at) <= Self::REMOTE_TTL);
        self.is_query = !self.is_negligible()
            && (self.max_own() >= Self::QUERY_THRESHOLD || self.is_pooled_query());
        if self.is_query {
            self.query_until = now + Self::QUERY_DURATION;
        }
    }

    pub(crate) fn set_pending(&mut self, pending: f64) {
        self.pending = pending;
    }

    /// Whether this entry's own outcomes allow a detection by pooled evidence.
    ///
    /// Silence may be caused by the network path. An entry accepts it only if it has
    /// evidence of silence itself, or if it had no answer for the longest window and
    /// nearly no other entry gets one: entries with a working path keep the upstream.
    /// It accepts the faults that only the upstream can cause unless its own newest
    /// outcomes contradict them.
    fn accepts_pooled(&self, fault: Fault) -> bool {
        const CONTRADICTING: f64 = -3.0;
        match fault {
            Fault::Silent => {
                self.own(fault) > Self::UNHEALTHY_REPORT || self.is_silent_everywhere()
            }
            Fault::Failing | Fault::Slow => self.windows(fault)[0] > CONTRADICTING,
        }
    }

    /// Whether nearly all other entries with outcomes within a second met silence,
    /// and most of those within four seconds: an upstream with few requests gives
    /// too few answers in one second to tell.
    fn is_silent_everywhere(&self) -> bool {
        const MIN_UNANSWERED: usize = 5;
        let (unanswered, answered) = self.silence_counts(1);
        let is_now = unanswered >= MIN_UNANSWERED && unanswered > 9 * answered;
        let (unanswered, answered) = self.silence_counts(3);
        is_now && unanswered > 2 * answered && self.windows(Fault::Silent)[4] >= 0.0
    }

    /// Whether no other entry sent evidence and this entry's is weak, as for most
    /// upstreams. Saves computing the sums.
    fn is_negligible(&self) -> bool {
        self.remote.is_empty() && self.max_own() < Self::HOME_THRESHOLD
    }

    /// Counts the other entries that met silence in a window, and those that got
    /// answers.
    fn silence_counts(&self, window: usize) -> (usize, usize) {
        let sum = |item: &Item| item.sums[Fault::Silent as usize][window];
        let sums = || self.remote.values().map(|(_, item)| sum(item));
        (sums().filter(|sum| *sum > 0).count(), sums().filter(|sum| *sum < 0).count())
    }

    /// Whether the evidence of all entries together reaches `threshold`. Each entry
    /// contributes a third of it at most, so that a failure of one entry's own network
    /// path doesn't make the others eject the upstream.
    fn is_pooled(&self, fault: Fault, threshold: f64) -> bool {
        self.is_sum_above(fault, threshold, threshold / 3.0)
    }

    /// Whether the sums of all entries, each bounded by `cap`, reach `threshold` in
    /// any window that the fault allows.
    fn is_sum_above(&self, fault: Fault, threshold: f64, cap: f64) -> bool {
        let mut sums = self.windows(fault).map(|sum| sum.clamp(-cap, cap));
        for (_, item) in self.remote.values() {
            for (sum, remote) in sums.iter_mut().zip(item.sums[fault as usize]) {
                *sum += (f64::from(remote) / Item::UNITS).clamp(-cap, cap);
            }
        }
        let is_current = sums[..=fault.shortest_window()].iter().all(|sum| *sum >= 0.0);
        is_current && sums[fault.shortest_window()..].iter().any(|sum| *sum >= threshold)
    }

    /// Whether the newest outcomes still support the fault. Older evidence may come
    /// from before a recovery, or from before the peers' shift was known.
    fn is_current(&self, fault: Fault) -> bool {
        let [half_second, _, two_seconds, ..] = self.windows(fault);
        half_second >= 0.0 && two_seconds > 0.0
    }

    fn own(&self, fault: Fault) -> f64 {
        let report = if self.reports_unhealthy { Self::UNHEALTHY_REPORT } else { 0.0 };
        self.evidence[fault as usize].cusum() + self.pending_for(fault) + report
    }

    /// Whether the evidence of all entries together suffices for a query: two
    /// failures, seen by more than one entry.
    fn is_pooled_query(&self) -> bool {
        const CAP: f64 = Suspicion::QUERY_THRESHOLD * 0.7;
        Fault::ALL.iter().any(|fault| self.is_sum_above(*fault, Self::QUERY_THRESHOLD, CAP))
    }

    /// This entry's sums in [`Item::UNITS`].
    fn sums(&self) -> [[i16; 5]; 3] {
        Fault::ALL.map(|fault| self.windows(fault).map(|sum| (sum * Item::UNITS).round() as i16))
    }

    fn pending_for(&self, fault: Fault) -> f64 {
        if fault == Fault::Silent { self.pending } else { 0.0 }
    }

    fn windows(&self, fault: Fault) -> [f64; 5] {
        let pending = self.pending_for(fault);
        self.evidence[fault as usize].windows().map(|sum| sum + pending)
    }
}
