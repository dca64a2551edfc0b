//! Upstreams that an entry owes requests.

use crate::balance::Duty;
use crate::balance::load::Load;
use crate::balance::pick_rate::PickRate;
use crate::clock::Moment;

/// Upstreams that an entry owes requests, and how many of its requests it may direct there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Duties {
    /// Whether the last request was directed.
    is_last_directed: bool,
    pick_rate: PickRate,
    /// Positions of the upstreams.
    positions: Vec<usize>,
    /// Requests per second that the duties as the first entry need at most.
    rate: f64,
}

impl Duties {
    /// Collects the upstreams that are owed requests.
    pub(crate) fn update(&mut self, loads: &[Load]) {
        let duty = |at: &usize| loads[*at].duty();
        self.positions = (0..loads.len()).filter(|at| duty(at).is_some()).collect();
        let first = self.positions.iter().filter(|at| duty(at) == Some(Duty::First)).count();
        self.rate = first as f64 / Duty::First.interval().as_secs_f64();
    }

    /// The upstream that has been owed a request for longest, of those that `accepts` accepts. At most
    /// every second request is directed, and none where this entry gets too few for its duties.
    pub(crate) fn due(
        &self,
        now: Moment,
        loads: &[Load],
        accepts: impl Fn(&Load) -> bool,
    ) -> Option<usize> {
        if self.is_last_directed || self.rate > self.pick_rate.per_second(now) {
            return None;
        }
        let due_at = |at: &usize| loads[*at].due_at().filter(|due_at| *due_at <= now);
        let due = self.positions.iter().filter_map(|at| Some((due_at(at)?, *at)));
        due.filter(|(_, at)| accepts(&loads[*at])).min().map(|(_, at)| at)
    }

    /// Counts a request of this entry.
    pub(crate) fn record(&mut self, now: Moment, is_directed: bool) {
        self.pick_rate.add(now);
        self.is_last_directed = is_directed;
    }
}
