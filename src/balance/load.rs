use std::time::Duration;

use crate::balance::Completion;
use crate::balance::Duty;
use crate::balance::Member;
use crate::balance::Report;
use crate::balance::Setup;
use crate::balance::Ticket;
use crate::balance::hold::Hold;
use crate::balance::throttle::Throttle;
use crate::clock::Moment;
use crate::health::Kind;
use crate::id::DomainId;

/// Load of one upstream as this entry knows it.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    sharing_entries: f64,
    /// Duty of this entry to send it a request in time, and since when.
    duty: Option<(Duty, Moment)>,
    full_until: Moment,
    health: f64,
    /// What it asked this entry for.
    hold: Hold,
    is_near: bool,
    is_suspect: bool,
    /// Whether it started recently and this entry has sent it no request yet.
    is_untried: bool,
    /// Mean latency in seconds, and when it was last updated.
    latency: Option<(f64, Moment)>,
    limit: f64,
    long_running: usize,
    member: Member,
    number: u64,
    rank: u64,
    /// When it last lost a request of this entry.
    lost_at: Option<Moment>,
    /// When it last served a request of this entry; `None` if it has lost one since.
    proven_at: Option<Moment>,
    /// Share of recent answers that were refusals, and when the last refusal was.
    refusals: (f64, Moment),
    report: Option<(Moment, Report)>,
    /// Limits the requests of this entry if the upstream named a limit for all entries.
    throttle: Option<Throttle>,
    /// When this entry last sent it a request.
    used_at: Option<Moment>,
    waiting: Vec<(u64, Moment)>,
}

/// What the last requests of this entry to an upstream showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Record {
    /// It served one recently and has lost none since.
    Proven,
    /// Nothing recent is known.
    Unknown,
    /// It lost one a moment ago. The breaker's verdict comes with the next view.
    Lost,
}

impl Load {
    /// Weight of the newest answer in the moving averages, which cover about the last twenty.
    const EWMA_WEIGHT: f64 = 0.05;
    /// How long a served request shows that an upstream serves. Gray failures begin and end within
    /// seconds.
    const PROVEN_AGE: Duration = Duration::from_secs(5);
    /// How long an upstream that lost a request is passed over.
    const LOST_AGE: Duration = Duration::from_secs(2);
    /// Time after which a mean latency without new answers has lost two thirds of its weight.
    /// Without this decay a slow upstream that recovered would lose every comparison, get no
    /// requests, and so never be measured again.
    const LATENCY_DECAY: Duration = Duration::from_secs(30);
    /// Factor applied to the limit at a refusal.
    const REFUSAL_BACKOFF: f64 = 0.7;
    /// Cost factor of refusals. One refusal in five answers doubles the cost, so that slower
    /// upstreams with room are used before callers are refused.
    const REFUSAL_COST: f64 = 5.0;
    /// Age at which a refusal has lost two thirds of its weight, as bursts are short.
    const REFUSAL_DECAY: Duration = Duration::from_secs(5);
    /// Age at which a reported load has lost two thirds of its weight.
    const REPORT_DECAY: Duration = Duration::from_millis(250);

    pub(crate) fn new(number: u64, rank: u64, is_near: bool, member: Member) -> Self {
        Self {
            sharing_entries: 1.0,
            duty: None,
            full_until: Moment::ZERO,
            health: 1.0,
            hold: Hold::default(),
            is_near,
            is_suspect: false,
            is_untried: false,
            latency: None,
            limit: f64::from(member.slots.max(1)),
            long_running: 0,
            member,
            number,
            rank,
            lost_at: None,
            proven_at: None,
            refusals: (0.0, Moment::ZERO),
            report: None,
            throttle: None,
            used_at: None,
            waiting: Vec::new(),
        }
    }

    pub(crate) fn begin(&mut self, request: u64, now: Moment, is_long: bool) {
        self.is_untried = false;
        self.used_at = Some(now);
        if let Some(throttle) = &mut self.throttle {
            throttle.take(now);
        }
        if is_long {
            self.long_running += 1;
        } else {
            self.waiting.push((request, now));
        }
    }

    /// Requests a second that it can serve; `default_latency` in seconds is used for a latency
    /// not yet known.
    pub(crate) fn capacity(&self, now: Moment, default_latency: f64) -> f64 {
        let share = self.health * self.member.state.share(now);
        let latency = self.expected_latency(now, default_latency);
        share * f64::from(self.member.slots.max(1)) / latency
    }

    pub(crate) fn connections(&self) -> u32 {
        self.member.connections
    }

    /// Connections that this entry may hold, so that all entries together stay below what the
    /// upstream accepts.
    pub(crate) fn connection_cap(&self) -> u32 {
        let cap = f64::from(self.member.connections) / self.sharing_entries.max(1.0);
        (cap as u32).max(1)
    }

    pub(crate) fn domain(&self) -> &DomainId {
        &self.member.domain
    }

    pub(crate) fn finish(&mut self, now: Moment, ticket: Ticket, completion: Completion) {
        let found = self.waiting.iter().position(|(request, _)| *request == ticket.request);
        match found {
            Some(position) => {
                self.waiting.swap_remove(position);
            }
            None => self.long_running = self.long_running.saturating_sub(1),
        }
        match completion.kind {
            Kind::Refused => (),
            Kind::Success => self.proven_at = Some(now),
            _ => {
                self.lost_at = Some(now);
                self.proven_at = None;
            }
        }
        self.report = completion.report.map(|report| (now, report)).or(self.report);
        match completion.kind {
            Kind::Refused => self.record_refusal(now),
            Kind::Success if found.is_some() => self.record_success(now, completion.latency),
            _ => {}
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.waiting.len() + self.long_running
    }

    /// Whether it can take one more request from this entry.
    pub(crate) fn has_room(&self, now: Moment) -> bool {
        let cap = self.limit.min(f64::from(self.connection_cap()));
        let has_token = self.throttle.is_none_or(|throttle| throttle.has_token(now));
        let is_held = self.hold.is_on(now, self.member.incarnation);
        !is_held
            && has_token
            && now >= self.full_until
            && (self.in_flight() as f64) < cap.max(1.0).floor()
    }

    /// Sets what it asked this entry for. After a rest it gets one request at a time at first: all that
    /// wait would be too many at once.
    pub(crate) fn set_hold(&mut self, hold: Hold) {
        if hold.rests_until() > self.hold.rests_until() {
            self.limit = 1.0;
        }
        self.hold = hold;
    }

    /// Until when it rests.
    pub(crate) fn rests_until(&self) -> Moment {
        self.hold.rests_until()
    }

    /// Sets the requests per second that this entry may send; `None` for no limit.
    pub(crate) fn set_rate(&mut self, now: Moment, rate: Option<f64>) {
        match (&mut self.throttle, rate) {
            (Some(throttle), Some(rate)) => throttle.set_rate(now, rate),
            (throttle, rate) => *throttle = rate.map(|rate| Throttle::new(now, rate)),
        }
    }

    /// Whether it is in the entry's own failure domain.
    pub(crate) fn is_near(&self) -> bool {
        self.is_near
    }

    /// Whether it is preferred to suspect upstreams.
    pub(crate) fn is_sound(&self) -> bool {
        !self.is_suspect
    }

    /// What this entry's last requests showed.
    pub(crate) fn record(&self, now: Moment) -> Record {
        if self.proven_at.is_some_and(|at| now < at + Self::PROVEN_AGE) {
            Record::Proven
        } else if self.lost_at.is_some_and(|at| now < at + Self::LOST_AGE) {
            Record::Lost
        } else {
            Record::Unknown
        }
    }

    /// Whether it started recently and this entry has sent it no request yet.
    pub(crate) fn is_untried(&self) -> bool {
        self.is_untried
    }

    /// Marks it as untried if it is starting.
    pub(crate) fn set_untried(&mut self) {
        self.is_untried = matches!(self.member.state, crate::balance::State::Warm { .. });
    }

    /// Whether it may get requests at all.
    pub(crate) fn is_usable(&self) -> bool {
        let is_leaving = self.member.state == crate::balance::State::Draining
            || self.hold.is_leaving(self.member.incarnation);
        self.health > 0.0 && !is_leaving
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

    /// Ages of the requests that wait for longer than twice the mean latency.
    pub(crate) fn overdue(&self, now: Moment) -> Vec<Duration> {
        let threshold = 2.0 * self.latency().unwrap_or(f64::INFINITY);
        let ages = self.waiting.iter().map(|(_, since)| now.saturating_sub(*since));
        ages.filter(|age| age.as_secs_f64() > threshold).collect()
    }

    /// Cost of a request here, for comparing two candidates.
    ///
    /// The square root of the latency counts: an old, slow upstream loses most comparisons while
    /// there is room elsewhere, and gets its full share once queues have made the others as slow.
    pub(crate) fn cost(&self, now: Moment, default_latency: f64, setup: &Setup) -> f64 {
        let domain_factor = if self.is_near { 1.0 } else { setup.remote_cost };
        let reported = if setup.uses_reports { self.reported_load(now) } else { 0.0 };
        let slots = f64::from(self.member.slots.max(1));
        let utilization = (self.in_flight() as f64 + reported) / slots;
        let refusal_factor = 1.0 + Self::REFUSAL_COST * self.refusal_share(now);
        (1.0 + utilization)
            * domain_factor
            * refusal_factor
            * self.expected_latency(now, default_latency).sqrt()
    }

    pub(crate) fn rank(&self) -> u64 {
        self.rank
    }

    pub(crate) fn set_sharing_entries(&mut self, sharing_entries: f64) {
        self.sharing_entries = sharing_entries;
    }

    /// When this entry has to have sent it another request; `None` without a duty.
    pub(crate) fn due_at(&self) -> Option<Moment> {
        let (duty, since) = self.duty?;
        Some(self.used_at.unwrap_or(since) + duty.interval())
    }

    /// Duty of this entry to send it a request in time.
    pub(crate) fn duty(&self) -> Option<Duty> {
        self.duty.map(|(duty, _)| duty)
    }

    /// Sets the duty of this entry from `now` on. The second entry has none at an upstream that is slow
    /// or starting, where each request costs more.
    pub(crate) fn set_duty(&mut self, now: Moment, duty: Option<Duty>) {
        let is_costly =
            self.health < 1.0 || matches!(self.member.state, crate::balance::State::Warm { .. });
        let duty = duty.filter(|duty| *duty == Duty::First || !is_costly);
        let since = self.duty.map_or(now, |(_, since)| since);
        self.duty = duty.map(|duty| (duty, since));
    }

    /// Sets whether it gets requests only where no sound upstream has room.
    pub(crate) fn set_suspect(&mut self, is_suspect: bool) {
        self.is_suspect = is_suspect;
    }

    /// Sets the share that health allows; returns whether it came to or from zero.
    pub(crate) fn set_health(&mut self, weight: f64) -> bool {
        let was_usable = self.health > 0.0;
        self.health = weight;
        was_usable != (weight > 0.0)
    }

    pub(crate) fn set_member(&mut self, member: Member) {
        self.member = member;
    }

    /// Expected latency in seconds: the mean, decaying towards `default_latency`.
    fn expected_latency(&self, now: Moment, default_latency: f64) -> f64 {
        let Some((mean, at)) = self.latency else {
            return default_latency;
        };
        (default_latency + (mean - default_latency) * decay_factor(now, at, Self::LATENCY_DECAY))
            .max(1e-6)
    }

    fn refusal_share(&self, now: Moment) -> f64 {
        let (share, at) = self.refusals;
        share * decay_factor(now, at, Self::REFUSAL_DECAY)
    }

    /// Records a refusal: it is full now, so the next requests go elsewhere for about the time in
    /// which one of its slots becomes free.
    fn record_refusal(&mut self, now: Moment) {
        let share = self.refusal_share(now);
        self.refusals = (share + Self::EWMA_WEIGHT * (1.0 - share), now);
        self.limit = (self.limit * Self::REFUSAL_BACKOFF).max(1.0);
        let per_slot = self.latency().unwrap_or(0.0) / f64::from(self.member.slots.max(1));
        self.full_until = now + Duration::from_secs_f64(per_slot);
    }

    fn record_success(&mut self, now: Moment, latency: Duration) {
        self.refusals.0 -= Self::EWMA_WEIGHT * self.refusals.0;
        let newest = latency.as_secs_f64();
        let (mean, at) = self.latency.unwrap_or((newest, now));
        let share = (1.0 - decay_factor(now, at, Self::LATENCY_DECAY)).max(Self::EWMA_WEIGHT);
        self.latency = Some((mean + share * (newest - mean), now));
        let limit_max = 2.0 * f64::from(self.member.slots.max(1));
        self.limit = (self.limit + 1.0 / self.limit).min(limit_max);
    }

    /// In-flight requests reported with the last answer, decaying with age.
    fn reported_load(&self, now: Moment) -> f64 {
        let Some((at, report)) = self.report else {
            return 0.0;
        };
        f64::from(report.in_flight) * decay_factor(now, at, Self::REPORT_DECAY)
    }
}

/// Remaining weight of a value measured `at` a moment.
fn decay_factor(now: Moment, at: Moment, memory: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (-age / memory.as_secs_f64()).exp()
}
