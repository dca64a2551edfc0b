use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::balance::Completion;
use crate::balance::Health;
use crate::balance::Member;
use crate::balance::Pick;
use crate::balance::Request;
use crate::balance::Setup;
use crate::balance::Ticket;
use crate::balance::load::Load;
use crate::balance::subset;
use crate::balance::subset::Subset;
use crate::clock::Moment;
use crate::id::UpstreamId;

/// Chooses upstreams of one service for one entry.
///
/// Shared by traffic threads behind one lock; a pick and its finish each hold it
/// for less than a microsecond.
#[derive(Clone, Debug)]
pub struct Picker {
    loads: Vec<Load>,
    next_member: u64,
    next_request: u64,
    /// Own requests at near upstreams from which on far ones take some too.
    near_share: f64,
    open: Vec<(usize, f64)>,
    random: ChaCha8Rng,
    setup: Setup,
    subset: Subset,
    usual: f64,
}

impl Picker {
    /// Part of the first candidate's cost that the second must stay below. Less
    /// than that is the noise of the means, and whoever is lowest by noise would
    /// draw the work of all.
    const CLEARLY: f64 = 0.9;
    /// Own requests at near upstreams, over the own part of their slots, from which on far
    /// ones take some too: requests come unevenly, and a queue costs less than a border.
    const SPILL: f64 = 1.5;
    /// The same in standard deviations of a part that arrivals use by chance. Of a part of
    /// one slot, a quarter of the requests would cross the border without it while nine in
    /// ten of the near slots are free.
    const SPILL_CHANCE: f64 = 1.0;
    /// Latency, in seconds, that is presumed while none is known.
    const PRESUMED: f64 = 0.025;

    /// A picker without upstreams.
    #[must_use]
    pub fn new(setup: Setup, random: ChaCha8Rng) -> Self {
        Self {
            loads: Vec::new(),
            next_member: 0,
            next_request: 0,
            near_share: 0.0,
            open: Vec::new(),
            random,
            setup,
            subset: Subset::default(),
            usual: Self::PRESUMED,
        }
    }

    /// Connections that this entry may hold to an upstream; nought for one that
    /// it doesn't use.
    #[must_use]
    pub fn connections(&self, upstream: &str) -> u32 {
        let used = self.used().find(|load| load.member().upstream == upstream);
        used.map_or(0, Load::connection_cap)
    }

    /// Ends a pick. Unknown tickets, of members that left, are ignored.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, completion: Completion) {
        let found = self.loads.binary_search_by_key(&ticket.member, Load::number);
        if let Ok(position) = found {
            self.loads[position].finish(now, ticket, completion);
        }
    }

    /// Requests in flight from here at an upstream.
    #[must_use]
    pub fn in_flight(&self, upstream: &str) -> usize {
        let load = self.loads.iter().find(|load| load.member().upstream == upstream);
        load.map_or(0, Load::in_flight)
    }

    /// Upstreams with requests that wait unusually long, for
    /// [`crate::health::Input::Pending`].
    #[must_use]
    pub fn overdue(&self, now: Moment) -> Vec<(UpstreamId, Vec<Duration>)> {
        let ages =
            self.loads.iter().map(|load| (load.member().upstream.clone(), load.overdue(now)));
        ages.filter(|(_, ages)| !ages.is_empty()).collect()
    }

    /// Chooses an upstream and counts the request as in flight there, or nothing
    /// when all that may take it are full.
    pub fn pick(&mut self, now: Moment, request: &Request<'_>) -> Option<Pick> {
        let total = self.gather(now, request);
        let first = self.draw(total)?;
        let second = self.draw(total)?;
        let is_cheaper = self.cost(now, second) < Self::CLEARLY * self.cost(now, first);
        let position = if is_cheaper { second } else { first };
        Some(self.begin(now, position, request.is_long))
    }

    /// Picks one upstream whatever its health, if it has room.
    pub fn pick_only(&mut self, now: Moment, upstream: &UpstreamId, is_long: bool) -> Option<Pick> {
        let wanted = |load: &Load| load.member().upstream == *upstream && load.is_open(now);
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
            ticket: Ticket { member: load.number(), request, since: now },
            upstream: load.member().upstream.clone(),
        }
    }

    /// Takes over what health holds. Due at each tick of the judge and after each
    /// of its outputs that concern an upstream.
    pub fn refresh(&mut self, health: &dyn Health) {
        let mut is_changed = false;
        for load in &mut self.loads {
            let weight = health.weight(&load.member().upstream);
            is_changed |= load.set_health(weight);
            load.set_suspect(health.is_suspect(&load.member().upstream));
        }
        if is_changed {
            self.choose();
        }
        self.measure();
    }

    /// Takes over how many entries the fleet has.
    pub fn set_entries(&mut self, entries: usize) {
        if self.setup.entries != entries {
            self.setup.entries = entries;
            self.choose();
        }
    }

    /// Takes over the announced upstreams: the whole list each time.
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
        for (upstream, member) in wanted {
            let rank = subset::rank(&self.setup.entry, upstream);
            let is_near = member.domain == self.setup.domain;
            self.loads.push(Load::new(self.next_member, rank, is_near, member.clone()));
            self.next_member += 1;
        }
        self.choose();
    }

    /// Upstreams that this entry uses at the moment.
    pub fn subset(&self) -> impl Iterator<Item = &UpstreamId> {
        self.used().map(|load| &load.member().upstream)
    }

    fn choose(&mut self) {
        self.subset = Subset::choose(&mut self.loads, self.setup.entries, self.setup.subset_max);
        if self.setup.local {
            self.subset.add_near(&self.loads);
            self.near_share = Self::near_share(&self.loads, self.setup.entries);
        }
    }

    /// Draws one of the gathered candidates in proportion to its capacity.
    fn draw(&mut self, total: f64) -> Option<usize> {
        let mut left = self.random.random_range(0.0..1.0) * total;
        for (position, capacity) in &self.open {
            left -= capacity;
            if left < 0.0 {
                return Some(*position);
            }
        }
        self.open.last().map(|(position, _)| *position)
    }

    /// Lists the candidates, and returns their whole capacity.
    fn gather(&mut self, now: Moment, request: &Request<'_>) -> f64 {
        if self.setup.local && !self.is_near_full() {
            let total = self.gather_some(now, request, |load| load.is_near() && load.is_sound());
            if total > 0.0 {
                return total;
            }
        }
        // A suspect one breaks most of what it gets; what may run once is lost there.
        let total = self.gather_some(now, request, Load::is_sound);
        if total > 0.0 {
            return total;
        }
        self.gather_some(now, request, |_| true)
    }

    /// Whether this entry has its part of the near upstreams' slots in use, and more.
    fn is_near_full(&self) -> bool {
        let near = self.used().filter(|load| load.is_near());
        let most = self.near_share + Self::SPILL_CHANCE * self.near_share.sqrt();
        let most = most.max(Self::SPILL * self.near_share);
        near.map(Load::in_flight).sum::<usize>() as f64 >= most
    }

    /// An entry's part of the near upstreams' sound slots, with entries spread as slots are.
    fn near_share(loads: &[Load], entries: usize) -> f64 {
        let slots = |load: &&Load| f64::from(load.member().slots);
        let all: f64 = loads.iter().map(|load| slots(&load)).sum();
        let near: f64 = loads.iter().filter(|load| load.is_near()).map(|load| slots(&load)).sum();
        let sound =
            loads.iter().filter(|load| load.is_near() && load.is_usable() && load.is_sound());
        let sound: f64 = sound.map(|load| slots(&load)).sum();
        let sharing = entries as f64 * near / all.max(1.0);
        sound / sharing.max(1.0)
    }

    fn gather_some(
        &mut self,
        now: Moment,
        request: &Request<'_>,
        takes: impl Fn(&Load) -> bool,
    ) -> f64 {
        self.open.clear();
        let mut total = 0.0;
        for position in &self.subset.positions {
            let load = &self.loads[*position];
            let avoided = request.avoid.contains(&load.member().upstream);
            if takes(load) && load.is_open(now) && !avoided {
                let capacity = load.capacity(now, self.usual);
                total += capacity;
                self.open.push((*position, capacity));
            }
        }
        total
    }

    /// Takes the mean of the known latencies for those not known.
    fn measure(&mut self) {
        let known: Vec<f64> = self.used().filter_map(Load::latency).collect();
        if !known.is_empty() {
            self.usual = known.iter().sum::<f64>() / known.len() as f64;
        }
    }

    fn cost(&self, now: Moment, position: usize) -> f64 {
        self.loads[position].cost(now, self.usual, &self.setup)
    }

    fn used(&self) -> impl Iterator<Item = &Load> {
        self.subset.positions.iter().map(|position| &self.loads[*position])
    }
}
