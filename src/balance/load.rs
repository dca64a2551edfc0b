use std::time::Duration;

use crate::balance::Completion;
use crate::balance::Member;
use crate::balance::Report;
use crate::balance::Setup;
use crate::balance::Ticket;
use crate::clock::Moment;
use crate::health::Kind;
use crate::id::DomainId;

/// What this entry knows of the load of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    crowd: f64,
    full_until: Moment,
    health: f64,
    is_near: bool,
    is_suspect: bool,
    /// Mean latency in seconds, and when it was last measured.
    latency: Option<(f64, Moment)>,
    limit: f64,
    long: usize,
    member: Member,
    number: u64,
    rank: u64,
    /// Share of the last answers that were refusals, and when the last was.
    refusals: (f64, Moment),
    report: Option<(Moment, Report)>,
    waiting: Vec<(u64, Moment)>,
}

impl Load {
    /// Share of the newest answer in the mean latency: the last twenty or so.
    const NEWEST: f64 = 0.05;
    /// Time after which a mean latency without new answers has lost two thirds of
    /// its weight. Without it a slow upstream that recovered would lose every
    /// comparison, get no work, and so never be measured again.
    const MEMORY: Duration = Duration::from_secs(30);
    /// Factor on the limit at a refusal.
    const BACK_OFF: f64 = 0.7;
    /// Cost of refusals: one in five doubles it, so that slower upstreams with
    /// room are used before callers are refused.
    const FULL: f64 = 5.0;
    /// Age at which a refusal has lost two thirds of its weight: a burst is over.
    const FULL_FADE: Duration = Duration::from_secs(5);
    /// Age at which a told load has lost two thirds of its weight.
    const FADE: Duration = Duration::from_millis(250);

    pub(crate) fn new(number: u64, rank: u64, is_near: bool, member: Member) -> Self {
        Self {
            crowd: 1.0,
            full_until: Moment::ZERO,
            health: 1.0,
            is_near,
            is_suspect: false,
            latency: None,
            limit: f64::from(member.slots.max(1)),
            long: 0,
            member,
            number,
            rank,
            refusals: (0.0, Moment::ZERO),
            report: None,
            waiting: Vec::new(),
        }
    }

    pub(crate) fn begin(&mut self, request: u64, now: Moment, is_long: bool) {
        if is_long {
            self.long += 1;
        } else {
            self.waiting.push((request, now));
        }
    }

    /// Work it can do, in requests a second; `usual` stands in for a latency not
    /// yet known.
    pub(crate) fn capacity(&self, now: Moment, usual: f64) -> f64 {
        let share = self.health * self.member.state.share(now);
        let latency = self.expected(now, usual);
        share * f64::from(self.member.slots.max(1)) / latency
    }

    pub(crate) fn connections(&self) -> u32 {
        self.member.connections
    }

    /// Connections that this entry may hold, so that all entries together stay
    /// below what the upstream accepts.
    pub(crate) fn connection_cap(&self) -> u32 {
        let cap = f64::from(self.member.connections) / self.crowd.max(1.0);
        (cap as u32).max(1)
    }

    pub(crate) fn domain(&self) -> &DomainId {
        &self.member.domain
    }

    pub(crate) fn finish(&mut self, now: Moment, ticket: Ticket, completion: Completion) {
        let found = self.waiting.iter().position(|(request, _)| *request == ticket.request);
        match found {
            Some(place) => {
                self.waiting.swap_remove(place);
            }
            None => self.long = self.long.saturating_sub(1),
        }
        self.report = completion.report.map(|report| (now, report)).or(self.report);
        match completion.kind {
            Kind::Refused => self.refused(now),
            Kind::Success if found.is_some() => self.succeeded(now, completion.latency),
            _ => {}
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.waiting.len() + self.long
    }

    /// Whether it can take one more request from here.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        let cap = self.limit.min(f64::from(self.connection_cap()));
        now >= self.full_until && (self.in_flight() as f64) < cap.max(1.0).floor()
    }

    /// Whether it is in the entry's own failure domain.
    pub(crate) fn is_near(&self) -> bool {
        self.is_near
    }

    /// Whether it gets work before those that are suspect.
    pub(crate) fn is_sound(&self) -> bool {
        !self.is_suspect
    }

    /// Whether it may be given work at all.
    pub(crate) fn is_usable(&self) -> bool {
        self.health > 0.0 && self.member.state != crate::balance::State::Draining
    }

    pub(crate) fn latency(&self) -> Option<f64> {
        self.latency.map(|(mean, _)| mean)
    }

    pub(crate) fn member(&self) -> &Member {
        &self.member
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Ages of requests that wait for longer than twice the mean.
    pub(crate) fn overdue(&self, now: Moment) -> Vec<Duration> {
        let bar = 2.0 * self.latency().unwrap_or(f64::INFINITY);
        let ages = self.waiting.iter().map(|(_, since)| now.saturating_sub(*since));
        ages.filter(|age| age.as_secs_f64() > bar).collect()
    }

    /// What a request would cost here, for comparing two candidates.
    ///
    /// The latency counts by its root: an old, slow upstream loses most
    /// comparisons while there is room elsewhere, and gets its full share when
    /// the queues of the others have made them as slow.
    pub(crate) fn cost(&self, now: Moment, usual: f64, setup: &Setup) -> f64 {
        let far = if self.is_near { 1.0 } else { setup.remote_cost };
        let told = if setup.uses_reports { self.told(now) } else { 0.0 };
        let slots = f64::from(self.member.slots.max(1));
        let busy = (self.in_flight() as f64 + told) / slots;
        let full = 1.0 + Self::FULL * self.refusing(now);
        (1.0 + busy) * far * full * self.expected(now, usual).sqrt()
    }

    pub(crate) fn rank(&self) -> u64 {
        self.rank
    }

    pub(crate) fn set_crowd(&mut self, crowd: f64) {
        self.crowd = crowd;
    }

    /// Sets the share that health allows; true when it came to or from nought.
    pub(crate) fn set_suspect(&mut self, is_suspect: bool) {
        self.is_suspect = is_suspect;
    }

    pub(crate) fn set_health(&mut self, weight: f64) -> bool {
        let was_usable = self.health > 0.0;
        self.health = weight;
        was_usable != (weight > 0.0)
    }

    pub(crate) fn set_member(&mut self, member: Member) {
        self.member = member;
    }

    /// Latency to expect, in seconds: the mean, fading to the `usual` one.
    fn expected(&self, now: Moment, usual: f64) -> f64 {
        let Some((mean, at)) = self.latency else {
            return usual;
        };
        (usual + (mean - usual) * kept(now, at, Self::MEMORY)).max(1e-6)
    }

    fn refusing(&self, now: Moment) -> f64 {
        let (share, at) = self.refusals;
        share * kept(now, at, Self::FULL_FADE)
    }

    /// A refusal means that it is full now: others get the next requests for
    /// about the time in which one of its slots comes free.
    fn refused(&mut self, now: Moment) {
        let share = self.refusing(now);
        self.refusals = (share + Self::NEWEST * (1.0 - share), now);
        self.limit = (self.limit * Self::BACK_OFF).max(1.0);
        let per_slot = self.latency().unwrap_or(0.0) / f64::from(self.member.slots.max(1));
        self.full_until = now + Duration::from_secs_f64(per_slot);
    }

    fn succeeded(&mut self, now: Moment, latency: Duration) {
        self.refusals.0 -= Self::NEWEST * self.refusals.0;
        let newest = latency.as_secs_f64();
        let (mean, at) = self.latency.unwrap_or((newest, now));
        let share = (1.0 - kept(now, at, Self::MEMORY)).max(Self::NEWEST);
        self.latency = Some((mean + share * (newest - mean), now));
        let most = 2.0 * f64::from(self.member.slots.max(1));
        self.limit = (self.limit + 1.0 / self.limit).min(most);
    }

    /// Load told on the last answer, fading as it grows old.
    fn told(&self, now: Moment) -> f64 {
        let Some((at, report)) = self.report else {
            return 0.0;
        };
        f64::from(report.in_flight) * kept(now, at, Self::FADE)
    }
}

/// Share of what was measured `at` a moment that still counts.
fn kept(now: Moment, at: Moment, memory: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (-age / memory.as_secs_f64()).exp()
}
