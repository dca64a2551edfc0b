use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Moment;
use crate::health::Evidence;
use crate::health::Item;
use crate::health::Setup;
use crate::health::aspect::Aspect;
use crate::id::NodeId;
use crate::id::UpstreamId;

/// The case against one upstream: this entry's evidence and the others'.
#[derive(Clone, Debug, Default)]
pub(crate) struct Case {
    /// Whether this entry puts the upstream in question.
    asks: bool,
    aspects: [Evidence; 3],
    /// What convicted it, told to the others for a while: they may lack the last
    /// outcomes that this entry would have gone on to see.
    convicted: Option<(Moment, [[i16; 5]; 3])>,
    /// Evidence of requests that still wait.
    pending: f64,
    question_until: Moment,
    remote: BTreeMap<NodeId, (Moment, Item)>,
    reports_ill: bool,
    /// By aspect, since when evidence is above its threshold.
    since: [Option<Moment>; 3],
}

impl Case {
    /// Evidence that is told to the upstream's home, in nats: one failure.
    const TELL: f64 = 3.0;
    /// Age at which another entry's evidence is dropped: longer than the interval
    /// of [`crate::health::Output::Tell`].
    const FRESH: Duration = Duration::from_millis(1_200);
    /// How long an upstream stays in question after the last suspicion.
    const QUESTION: Duration = Duration::from_secs(1);
    /// Weight of the upstream's own word that it is ill, in nats: far below any
    /// threshold, as the word lags or misleads. That it is well counts nothing.
    const REPORT: f64 = 1.5;
    /// Evidence at which all entries are asked, in nats: two failures in a row, at
    /// one entry or told by two. A single one is an everyday matter, and not
    /// worth messages to all.
    const SHARE: f64 = 5.0;

    pub(crate) fn add(&mut self, now: Moment, aspect: Aspect, step: f64) {
        self.aspects[aspect as usize].add(now, step);
    }

    /// Closes the case with a conviction.
    pub(crate) fn close(&mut self, now: Moment) {
        let sums = self.sums();
        self.clear();
        self.convicted = Some((now + Self::QUESTION, sums));
    }

    /// Starts anew; the upstream's own word stands.
    pub(crate) fn clear(&mut self) {
        let reports_ill = self.reports_ill;
        for evidence in &mut self.aspects {
            evidence.reset();
        }
        let aspects = std::mem::take(&mut self.aspects);
        *self = Self { aspects, reports_ill, ..Self::default() };
    }

    /// The aspect in which it stands convicted, for long enough.
    pub(crate) fn conviction(&mut self, now: Moment, setup: &Setup, bar: f64) -> Option<Aspect> {
        if self.is_quiet() {
            self.since = [None; 3];
            return None;
        }
        let mut convicted = None;
        for aspect in Aspect::ALL {
            let is_own = self.own(aspect) >= bar && self.is_recent(aspect);
            let is_pooled = self.is_pooled(aspect, setup.pooled_threshold(aspect));
            let since = &mut self.since[aspect as usize];
            if !is_own && !is_pooled {
                *since = None;
                continue;
            }
            let since = *since.get_or_insert(now);
            let is_lasting = now >= since + setup.persistence(aspect);
            if is_lasting && (is_own || self.agrees(aspect)) {
                convicted = convicted.or(Some(aspect));
            }
        }
        convicted
    }

    /// Strongest evidence of this entry alone.
    pub(crate) fn doubt(&self) -> f64 {
        Aspect::ALL.iter().map(|aspect| self.own(*aspect)).fold(0.0, f64::max)
    }

    /// Takes another entry's evidence; true when that puts the upstream in question.
    pub(crate) fn hear(&mut self, now: Moment, from: &NodeId, item: Item) -> bool {
        let is_asked = item.asks;
        if is_asked {
            self.question_until = now + Self::QUESTION;
        }
        self.remote.insert(from.clone(), (now, item));
        is_asked
    }

    /// Whether evidence, this entry's or all entries', has reached half of what
    /// convicts.
    pub(crate) fn is_half_way(&self, setup: &Setup) -> bool {
        if self.is_quiet() {
            return false;
        }
        let is_pooled = |aspect: &Aspect| {
            self.agrees(*aspect) && self.is_pooled(*aspect, setup.pooled_threshold(*aspect) / 2.0)
        };
        self.doubt() >= setup.own_threshold() / 2.0 || Aspect::ALL.iter().any(is_pooled)
    }

    /// Evidence for the other entries, if the upstream is in question.
    pub(crate) fn item(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        if let Some((until, sums)) = self.convicted
            && now < until
        {
            return Some(Item { asks: true, sums, upstream: upstream.clone() });
        }
        let is_empty = self.pending <= 0.0 && self.aspects.iter().all(Evidence::is_empty);
        if now >= self.question_until || (is_empty && !self.asks) {
            return None;
        }
        Some(Item { asks: self.asks, sums: self.sums(), upstream: upstream.clone() })
    }

    /// Evidence for the upstream's home, when it is too little for all.
    pub(crate) fn told(&self, now: Moment, upstream: &UpstreamId) -> Option<Item> {
        let is_little = now >= self.question_until && self.doubt() >= Self::TELL;
        is_little.then(|| Item { asks: false, sums: self.sums(), upstream: upstream.clone() })
    }

    pub(crate) fn report(&mut self, healthy: bool) {
        self.reports_ill = !healthy;
    }

    /// Moves windows on and drops old words of other entries.
    pub(crate) fn roll(&mut self, now: Moment) {
        for evidence in &mut self.aspects {
            evidence.roll(now);
        }
        self.remote.retain(|_, (at, _)| now.saturating_sub(*at) <= Self::FRESH);
        self.asks = !self.is_quiet() && (self.doubt() >= Self::SHARE || self.is_told());
        if self.asks {
            self.question_until = now + Self::QUESTION;
        }
    }

    pub(crate) fn set_pending(&mut self, pending: f64) {
        self.pending = pending;
    }

    /// Whether this entry's own outcomes let it follow the others.
    ///
    /// Silence may be the path's fault, so an entry follows only when it meets
    /// silence too, or has had no answer for the longest window and next to nobody
    /// else gets one: entries with a path keep the upstream. For what the upstream itself does it follows unless it sees the
    /// contrary right now.
    fn agrees(&self, aspect: Aspect) -> bool {
        const SEEN_WELL: f64 = -3.0;
        match aspect {
            Aspect::Silent => self.own(aspect) > Self::REPORT || self.is_silent_to_all(),
            Aspect::Failing | Aspect::Slow => self.windows(aspect)[0] > SEEN_WELL,
        }
    }

    /// Whether next to all entries that sent anything within a second met
    /// silence, and most of those within four: an upstream with little work gets
    /// too few answers in a second to tell.
    fn is_silent_to_all(&self) -> bool {
        const LEAST: usize = 5;
        let (unanswered, answered) = self.silences(1);
        let is_now = unanswered >= LEAST && unanswered > 9 * answered;
        let (unanswered, answered) = self.silences(3);
        is_now && unanswered > 2 * answered && self.windows(Aspect::Silent)[4] >= 0.0
    }

    /// Whether nobody says anything against it; spares most upstreams the sums.
    fn is_quiet(&self) -> bool {
        self.remote.is_empty() && self.doubt() < Self::TELL
    }

    /// Other entries that met silence in a window, and those that got answers.
    fn silences(&self, window: usize) -> (usize, usize) {
        let sum = |item: &Item| item.sums[Aspect::Silent as usize][window];
        let sums = || self.remote.values().map(|(_, item)| sum(item));
        (sums().filter(|sum| *sum > 0).count(), sums().filter(|sum| *sum < 0).count())
    }

    /// Whether all entries together convict it. One entry's word is bounded to a
    /// third of the threshold, so that a fault on its own path convicts nobody
    /// elsewhere.
    fn is_pooled(&self, aspect: Aspect, bar: f64) -> bool {
        self.is_above(aspect, bar, bar / 3.0)
    }

    /// Whether the sums of all entries, each one's bounded by `cap`, reach `bar`.
    fn is_above(&self, aspect: Aspect, bar: f64, cap: f64) -> bool {
        let mut sums = self.windows(aspect).map(|sum| sum.clamp(-cap, cap));
        for (_, item) in self.remote.values() {
            for (sum, theirs) in sums.iter_mut().zip(item.sums[aspect as usize]) {
                *sum += (f64::from(theirs) / Item::UNITS).clamp(-cap, cap);
            }
        }
        let is_fresh = sums[..=aspect.shortest()].iter().all(|sum| *sum >= 0.0);
        is_fresh && sums[aspect.shortest()..].iter().any(|sum| *sum >= bar)
    }

    /// Whether the newest outcomes still speak against it: evidence from before a
    /// recovery, or before its peers turned out to fare the same, is no ground.
    fn is_recent(&self, aspect: Aspect) -> bool {
        let [newest, _, seconds, ..] = self.windows(aspect);
        newest >= 0.0 && seconds > 0.0
    }

    fn own(&self, aspect: Aspect) -> f64 {
        let word = if self.reports_ill { Self::REPORT } else { 0.0 };
        self.aspects[aspect as usize].sum() + self.waiting(aspect) + word
    }

    /// Whether what others told amounts to a question to all: two failures, of
    /// more than one entry.
    fn is_told(&self) -> bool {
        const CAP: f64 = Case::SHARE * 0.7;
        Aspect::ALL.iter().any(|aspect| self.is_above(*aspect, Self::SHARE, CAP))
    }

    fn sums(&self) -> [[i16; 5]; 3] {
        Aspect::ALL.map(|aspect| self.windows(aspect).map(|sum| (sum * Item::UNITS).round() as i16))
    }

    fn waiting(&self, aspect: Aspect) -> f64 {
        if aspect == Aspect::Silent { self.pending } else { 0.0 }
    }

    fn windows(&self, aspect: Aspect) -> [f64; 5] {
        let waiting = self.waiting(aspect);
        self.aspects[aspect as usize].windows().map(|sum| sum + waiting)
    }
}
