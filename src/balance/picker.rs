mod candidates;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::balance::Completion;
use crate::balance::Coverage;
use crate::balance::Health;
use crate::balance::Member;
use crate::balance::Pick;
use crate::balance::Request;
use crate::balance::Setup;
use crate::balance::Ticket;
use crate::balance::duties::Duties;
use crate::balance::hold::Holds;
use crate::balance::load::Load;
use crate::balance::load::Record;
use crate::balance::subset;
use crate::balance::subset::Subset;
use crate::balance::working_set::WorkingSet;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Chooses upstreams of one service for one entry.
///
/// Shared by traffic threads behind one lock; a pick and its completion each hold it for less
/// than a microsecond.
#[derive(Clone, Debug)]
pub struct Picker {
    loads: Vec<Load>,
    next_member: u64,
    next_request: u64,
    /// In-flight requests of this entry at near upstreams from which on far ones get some too.
    near_share: f64,
    /// Near upstreams of the subset, by rank.
    near: Vec<usize>,
    near_slots: f64,
    coverage: Coverage,
    holds: Holds,
    duties: Duties,
    working_set: WorkingSet,
    candidates: Vec<(usize, f64)>,
    random: ChaCha8Rng,
    setup: Setup,
    subset: Subset,
    /// Latency in seconds that is assumed of upstreams that were not measured: the mean of the
    /// others.
    default_latency: f64,
    /// When the default latency is computed again.
    default_due: Moment,
}

impl Picker {
    /// The second candidate is taken if its cost is below this share of the first one's. Smaller
    /// differences are noise of the means, and the upstream that is lowest by noise would attract
    /// all requests.
    const COST_RATIO_MAX: f64 = 0.9;
    /// Share of the requests that go to untried upstreams, if there are any. Upstreams outside of
    /// the working set would otherwise get their first request only in an emergency.
    const UNTRIED_SHARE: f64 = 0.125;
    /// Latency assumed while none is known.
    const DEFAULT_LATENCY_SECONDS: f64 = 0.025;
    /// Interval between two computations of the default latency. While it is far above the measured
    /// ones, an upstream that was not measured loses each comparison, and is never measured.
    const DEFAULT_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates a picker without upstreams.
    #[must_use]
    pub fn new(setup: Setup, random: ChaCha8Rng) -> Self {
        Self {
            loads: Vec::new(),
            next_member: 0,
            next_request: 0,
            near_share: 0.0,
            near: Vec::new(),
            near_slots: 0.0,
            coverage: Coverage::default(),
            holds: Holds::default(),
            duties: Duties::default(),
            working_set: WorkingSet::default(),
            candidates: Vec::new(),
            random,
            setup,
            subset: Subset::default(),
            default_latency: Self::DEFAULT_LATENCY_SECONDS,
            default_due: Moment::ZERO,
        }
    }

    /// Connections that this entry may hold to an upstream; zero for one that it does not use.
    #[must_use]
    pub fn connections(&self, upstream: &str) -> u32 {
        let used = self.used().find(|load| load.member().upstream == upstream);
        used.map_or(0, Load::connection_cap)
    }

    /// Records the completion of a request. Tickets of removed members are ignored.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, completion: Completion) {
        let found = self.loads.binary_search_by_key(&ticket.member, Load::number);
        if let Ok(position) = found {
            self.loads[position].finish(now, ticket, completion);
        }
        if now >= self.default_due {
            self.default_due = now + Self::DEFAULT_INTERVAL;
            self.update_default_latency();
        }
    }

    /// In-flight requests of this entry at an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &str) -> usize {
        let load = self.loads.iter().find(|load| load.member().upstream == upstream);
        load.map_or(0, Load::in_flight)
    }

    /// Upstreams with requests that wait unusually long, and the ages of these, for
    /// [`crate::health::Input::Pending`].
    #[must_use]
    pub fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        let ages =
            self.loads.iter().map(|load| (load.member().upstream.clone(), load.overdue(now)));
        ages.filter(|(_, ages)| !ages.is_empty()).collect()
    }

    /// Chooses an upstream and counts the request as in flight there; `None` if all candidates
    /// are full.
    pub fn pick(&mut self, now: Moment, request: &Request<'_>) -> Option<Pick> {
        self.working_set.record_in_flight(now, self.near_in_flight() + 1);
        if let Some(position) = self.explore(now, request) {
            return Some(self.begin(now, position, request.is_long));
        }
        let due = self.due(now, request);
        self.duties.record(now, due.is_some());
        if let Some(position) = due {
            let pick = self.begin(now, position, request.is_long);
            return Some(Pick { is_directed: true, ..pick });
        }
        let total = self.gather_candidates(now, request);
        let first = self.draw(total)?;
        let second = self.draw(total)?;
        let is_cheaper = self.cost(now, second) < Self::COST_RATIO_MAX * self.cost(now, first);
        let position = if is_cheaper { second } else { first };
        Some(self.begin(now, position, request.is_long))
    }

    /// Records that an upstream wants no requests of this entry for some time.
    pub fn rest(&mut self, now: Moment, upstream: &UpstreamId, span: Duration) {
        let hold = self.holds.rest(upstream, now + span);
        if let Some(load) = self.load_mut(upstream) {
            load.set_hold(hold);
        }
    }

    /// Records that an upstream is leaving; returns whether that is new.
    pub fn leave(&mut self, now: Moment, upstream: &UpstreamId) -> bool {
        let incarnation = self.load_mut(upstream).map_or(0, |load| load.member().incarnation);
        if !self.holds.leave(now, upstream, incarnation) {
            return false;
        }
        let hold = self.holds.get(upstream);
        if let Some(load) = self.load_mut(upstream) {
            load.set_hold(hold);
        }
        self.choose_subset();
        true
    }

    /// Whether an upstream wants no request now.
    #[must_use]
    pub fn is_held(&self, now: Moment, upstream: &str) -> bool {
        if self.holds.is_empty() {
            return false;
        }
        let load = self.loads.iter().find(|load| load.member().upstream == upstream);
        let incarnation = load.map_or(0, |load| load.member().incarnation);
        self.holds.get(upstream).is_on(now, incarnation)
    }

    /// Time until the first upstream has rested, if all of them rest.
    #[must_use]
    pub fn rest_left(&self, now: Moment) -> Option<Duration> {
        if self.holds.is_empty() {
            return None;
        }
        let usable = self.loads.iter().filter(|load| load.is_usable());
        let first = usable.map(Load::rests_until).min()?;
        first.checked_sub(now).filter(|left| !left.is_zero())
    }

    fn load_mut(&mut self, upstream: &str) -> Option<&mut Load> {
        self.loads.iter_mut().find(|load| load.member().upstream == upstream)
    }

    /// Picks the given upstream regardless of its health, if it has room.
    pub fn pick_only(&mut self, now: Moment, upstream: &UpstreamId, is_long: bool) -> Option<Pick> {
        let wanted = |load: &Load| load.member().upstream == *upstream && load.has_room(now);
        let position = self.loads.iter().position(wanted)?;
        Some(self.begin(now, position, is_long))
    }

    fn begin(&mut self, now: Moment, position: usize, is_long: bool) -> Pick {
        let request = self.next_request;
        self.next_request += 1;
        let load = &mut self.loads[position];
        load.begin(request, now, is_long);
        Pick {
            connections: load.connection_cap(),
            is_directed: false,
            ticket: Ticket { member: load.number(), request, since: now },
            upstream: load.member().upstream.clone(),
        }
    }

    /// Updates the health of all upstreams. Must be called at each tick of the monitor and after
    /// each of its outputs that concerns an upstream.
    pub fn refresh(&mut self, now: Moment, health: &dyn Health) {
        let mut is_changed = false;
        self.holds.expire(now);
        for load in &mut self.loads {
            let weight = health.weight(&load.member().upstream);
            is_changed |= load.set_health(weight);
            load.set_suspect(health.is_suspect(&load.member().upstream));
            load.set_duty(now, health.duty(&load.member().upstream));
        }
        self.duties.update(&self.loads);
        if is_changed {
            self.choose_subset();
        }
        self.update_default_latency();
    }

    /// Sets the number of entries in the fleet.
    pub fn set_entries(&mut self, entries: usize) {
        if self.setup.entries != entries {
            self.setup.entries = entries;
            self.choose_subset();
        }
    }

    /// Sets how many upstreams stand behind those that this entry follows.
    pub fn set_coverage(&mut self, coverage: Coverage) {
        if self.coverage != coverage {
            self.coverage = coverage;
            self.choose_subset();
        }
    }

    /// Sets the requests per second that this entry may send to each upstream; `None` for no limit.
    pub fn set_rates(&mut self, now: Moment, rate: impl Fn(&UpstreamId) -> Option<f64>) {
        for load in &mut self.loads {
            let rate = rate(&load.member().upstream);
            load.set_rate(now, rate);
        }
    }

    /// Replaces the announced upstreams by a complete list.
    pub fn set_members(&mut self, members: &[Member]) {
        let mut wanted: BTreeMap<&UpstreamId, &Member> =
            members.iter().map(|member| (&member.upstream, member)).collect();
        self.loads.retain_mut(|load| match wanted.remove(&load.member().upstream) {
            Some(member) => {
                load.set_member(member.clone());
                true
            }
            None => false,
        });
        let is_first = self.loads.is_empty();
        for (upstream, member) in wanted {
            let rank = subset::rank(&self.setup.entry, upstream);
            let is_near = member.domain == self.setup.domain;
            let mut load = Load::new(self.next_member, rank, is_near, member.clone());
            load.set_hold(self.holds.get(upstream));
            if !is_first {
                load.set_untried();
            }
            self.loads.push(load);
            self.next_member += 1;
        }
        self.duties.update(&self.loads);
        self.choose_subset();
    }

    /// Upstreams that this entry currently uses.
    pub fn subset(&self) -> impl Iterator<Item = &UpstreamId> {
        self.used().map(|load| &load.member().upstream)
    }

    fn choose_subset(&mut self) {
        self.subset = Subset::choose(&mut self.loads, self.setup.entries, self.setup.subset_max);
        if self.setup.local {
            self.subset.add_near(&self.loads);
            self.near_share = self.share_of_near_slots();
        }
        let (loads, positions) = (&self.loads, &self.subset.positions);
        self.near = positions.iter().copied().filter(|at| loads[*at].is_near()).collect();
        self.near.sort_by_key(|at| loads[*at].rank());
        let slots = self.near.iter().map(|at| f64::from(loads[*at].member().slots.max(1)));
        self.near_slots = slots.sum();
    }

    /// Number of near upstreams that this entry uses.
    fn working_size(&self) -> usize {
        self.working_set.size(self.near.len(), self.near_slots, self.near_share)
    }

    /// Whether sound near upstreams are to spare. If fewer than half are left, those that are out must
    /// be tried again, also by requests that may be lost.
    #[must_use]
    pub fn has_spare(&self) -> bool {
        let all = self.loads.iter().filter(|load| load.is_near()).count();
        let sound = self.near.iter().filter(|at| self.loads[**at].is_sound()).count();
        !self.needs_all() && 2 * sound >= all
    }

    /// Whether all upstreams are needed.
    fn needs_all(&self) -> bool {
        !self.setup.local || self.working_size() == self.near.len()
    }

    /// An upstream for a request that finds out whether it serves. These are the next ones of a
    /// working set that lacks some, for requests that can be repeated, and those that started.
    fn explore(&mut self, now: Moment, request: &Request<'_>) -> Option<usize> {
        if self.needs_all() || request.is_long {
            return None;
        }
        let loads = &self.loads;
        let sound = || self.near.iter().copied().filter(|at| loads[*at].is_sound());
        let is_free = |at: &usize| loads[*at].in_flight() == 0 && loads[*at].has_room(now);
        let is_unknown = |at: &usize| loads[*at].record(now) == Record::Unknown;
        let proven = sound().filter(|at| loads[*at].record(now) == Record::Proven).count();
        if request.is_repeatable && request.avoid.is_empty() && proven < self.working_size() {
            return sound().filter(is_unknown).find(is_free);
        }
        let position = sound().filter(|at| loads[*at].is_untried()).find(is_free)?;
        self.random.random_bool(Self::UNTRIED_SHARE).then_some(position)
    }

    /// The upstream to which this entry has owed a request for longest. Chosen by cost alone, one that
    /// is slow, far or unlucky gets none for seconds. None where the working set decides.
    fn due(&self, now: Moment, request: &Request<'_>) -> Option<usize> {
        if request.is_long || !self.needs_all() {
            return None;
        }
        let is_free = |load: &Load| load.is_usable() && load.is_sound() && load.has_room(now);
        let is_avoided = |load: &Load| request.avoid.contains(&load.member().upstream);
        let is_wanted =
            |load: &Load| is_free(load) && load.record(now) != Record::Lost && !is_avoided(load);
        self.duties.due(now, &self.loads, is_wanted)
    }

    fn near_in_flight(&self) -> usize {
        self.near.iter().map(|at| self.loads[*at].in_flight()).sum()
    }

    /// Sets the default latency to the mean of the known ones.
    fn update_default_latency(&mut self) {
        let known: Vec<f64> = self.used().filter_map(Load::latency).collect();
        if !known.is_empty() {
            self.default_latency = known.iter().sum::<f64>() / known.len() as f64;
        }
    }

    fn cost(&self, now: Moment, position: usize) -> f64 {
        self.loads[position].cost(now, self.default_latency, &self.setup)
    }

    fn used(&self) -> impl Iterator<Item = &Load> {
        self.subset.positions.iter().map(|position| &self.loads[*position])
    }
}
