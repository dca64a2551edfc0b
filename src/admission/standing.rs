use std::time::Duration;

use crate::clock::Moment;

/// Shortest time over which a queue is judged: CoDel's 100 ms, a worst-case
/// round trip, so that what is judged is the queue and not one burst of packets.
const INTERVAL: Duration = Duration::from_millis(100);
/// Service times in an interval: a queue before a slow service needs longer to
/// show whether it shrinks.
const SERVICES: u32 = 2;

/// Tells a standing queue from a burst.
///
/// A burst's queue is long but shrinks, and everyone in it will be served; if
/// it were cut, callers would be refused for nothing. A standing queue never
/// empties and does not shrink: it adds its length to everyone's wait and
/// serves no one more. So a queue stands when over a whole interval it was
/// never empty and did not shrink, and it stands no longer after an interval
/// in which nobody was refused.
#[derive(Clone, Debug)]
pub(super) struct Standing {
    arrived: usize,
    emptied: bool,
    first: usize,
    pressure: f64,
    refused: bool,
    since: Moment,
    stands: bool,
    started: usize,
}

impl Standing {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            arrived: 0,
            emptied: true,
            first: 0,
            pressure: 1.0,
            refused: false,
            since: now,
            stands: false,
            started: 0,
        }
    }

    /// Notes a request that came.
    pub(super) fn arrive(&mut self) {
        self.arrived += 1;
    }

    /// Notes a request that was refused for want of room.
    pub(super) fn refuse(&mut self) {
        self.refused = true;
    }

    /// Notes a request that was started.
    pub(super) fn start(&mut self) {
        self.started += 1;
    }

    /// Judges the queue, which now holds `waiting` requests.
    pub(super) fn judge(&mut self, now: Moment, waiting: usize, service: Duration) {
        self.emptied |= waiting == 0;
        if now < self.since + INTERVAL.max(service * SERVICES) {
            return;
        }
        let full = !self.emptied && waiting >= self.first;
        self.stands = full || self.stands && self.refused;
        self.pressure = self.arrived.max(1) as f64 / self.started.max(1) as f64;
        *self = Self {
            arrived: 0,
            emptied: waiting == 0,
            first: waiting,
            refused: false,
            since: now,
            started: 0,
            ..self.clone()
        };
    }

    /// Requests that came for each that was started, over the last interval.
    pub(super) fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Whether the queue stands.
    pub(super) fn stands(&self) -> bool {
        self.stands
    }
}
