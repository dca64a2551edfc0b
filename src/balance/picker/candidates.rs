//! The upstreams among which one is drawn for a request.

use rand::Rng;

use super::Picker;
use crate::balance::Request;
use crate::balance::load::Load;
use crate::balance::load::Record;
use crate::clock::Moment;

impl Picker {
    /// In-flight requests of this entry at near upstreams, relative to its share of their slots,
    /// from which on far ones get some too. Requests arrive unevenly, and a short queue costs
    /// less than crossing failure domains.
    const SPILL_FACTOR: f64 = 1.5;
    /// Standard deviations of random arrivals that the entry's share of near slots allows for.
    /// With a share of one slot, a quarter of the requests would otherwise leave the failure
    /// domain while nine in ten of the near slots are free.
    const SPILL_DEVIATIONS: f64 = 1.0;

    /// Draws one of the candidates in proportion to its capacity.
    pub(super) fn draw(&mut self, total: f64) -> Option<usize> {
        let mut remaining = self.random.random_range(0.0..1.0) * total;
        for (position, capacity) in &self.candidates {
            remaining -= capacity;
            if remaining < 0.0 {
                return Some(*position);
            }
        }
        self.candidates.last().map(|(position, _)| *position)
    }

    /// Collects the candidates and returns their total capacity.
    pub(super) fn gather_candidates(&mut self, now: Moment, request: &Request<'_>) -> f64 {
        if self.setup.local && !self.is_near_full() {
            let total = self.gather_near(now, request);
            if total > 0.0 {
                return total;
            }
        }
        // A suspect upstream breaks most requests, and non-idempotent ones are lost there.
        let total = self.gather_where(now, request, Load::is_sound);
        if total > 0.0 {
            return total;
        }
        let total = self.gather_where(now, request, |_| true);
        if total > 0.0 || !self.used().any(|load| now < load.rests_until()) {
            return total;
        }
        self.gather_others(now, request)
    }

    /// Collects upstreams that this entry does not use otherwise, as some of those that it uses rest.
    fn gather_others(&mut self, now: Moment, request: &Request<'_>) -> f64 {
        let used = std::mem::take(&mut self.subset.positions);
        let others = (0..self.loads.len()).filter(|at| !used.contains(at));
        self.subset.positions = others.filter(|at| self.loads[*at].is_usable()).collect();
        let total = self.gather_where(now, request, |_| true);
        self.subset.positions = used;
        total
    }

    /// Collects sound near upstreams. If not all are needed, those that have served recently come
    /// first: what a faulty one loses is lost to the caller, unless it can be repeated.
    fn gather_near(&mut self, now: Moment, request: &Request<'_>) -> f64 {
        let is_near = |load: &Load| load.is_near() && load.is_sound();
        if self.needs_all() {
            return self.gather_where(now, request, is_near);
        }
        for record in [Record::Proven, Record::Unknown, Record::Lost] {
            let is_wanted = |load: &Load| is_near(load) && load.record(now) == record;
            for rank_max in [self.rank_max(is_wanted), u64::MAX] {
                let is_first = |load: &Load| is_wanted(load) && load.rank() <= rank_max;
                let total = self.gather_where(now, request, is_first);
                if total > 0.0 {
                    return total;
                }
            }
        }
        0.0
    }

    /// Rank of the last upstream of a working set of those that `accepts` accepts.
    fn rank_max(&self, accepts: impl Fn(&Load) -> bool) -> u64 {
        let near = self.near.iter().map(|at| &self.loads[*at]);
        let accepted = near.filter(|load| accepts(load));
        accepted.take(self.working_size()).last().map_or(u64::MAX, Load::rank)
    }

    /// Whether this entry uses more than its share of the near upstreams' slots.
    fn is_near_full(&self) -> bool {
        let limit = self.near_share + Self::SPILL_DEVIATIONS * self.near_share.sqrt();
        let limit = limit.max(Self::SPILL_FACTOR * self.near_share);
        self.near_in_flight() as f64 >= limit
    }

    /// This entry's share of the slots of sound near upstreams, if entries are spread over
    /// failure domains as slots are.
    pub(super) fn share_of_near_slots(&self) -> f64 {
        let (loads, coverage) = (&self.loads, self.coverage);
        let slots = |load: &&Load| {
            let scale = if load.is_near() { coverage.near } else { coverage.far };
            f64::from(load.member().slots) * scale
        };
        let all: f64 = loads.iter().map(|load| slots(&load)).sum();
        let near: f64 = loads.iter().filter(|load| load.is_near()).map(|load| slots(&load)).sum();
        let sound =
            loads.iter().filter(|load| load.is_near() && load.is_usable() && load.is_sound());
        let sound: f64 = sound.map(|load| slots(&load)).sum();
        let sharing = self.setup.entries as f64 * near / all.max(1.0);
        sound / sharing.max(1.0)
    }

    fn gather_where(
        &mut self,
        now: Moment,
        request: &Request<'_>,
        accepts: impl Fn(&Load) -> bool,
    ) -> f64 {
        self.candidates.clear();
        let mut total = 0.0;
        for position in &self.subset.positions {
            let load = &self.loads[*position];
            let avoided = request.avoid.contains(&load.member().upstream);
            if accepts(load) && load.has_room(now) && !avoided {
                let capacity = load.capacity(now, self.default_latency);
                total += capacity;
                self.candidates.push((*position, capacity));
            }
        }
        total
    }
}
