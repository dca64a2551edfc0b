use std::time::Duration;

use crate::clock::Moment;

/// Shortest time over which a queue is judged: CoDel's 100 ms, a worst-case
/// round trip, so that what is judged is the queue and not one burst of packets.
const INTERVAL: Duration = Duration::from_millis(100);
/// Requests that are started in an interval, at the usual pace: with fewer, the
/// chance in arrivals and times alone keeps a queue from emptying. Before two
/// slots at 90% of the capacity, a queue judged by eight requests seemed to
/// stand so often that 8% to 17% were refused.
const STARTS: u32 = 32;

/// What came in since the peak, in eighths of what was started, from which on
/// a queue is taken not to shrink: noise aside, as much as is served.
const EIGHTHS: usize = 7;

/// What came in, in eighths of what was started, up to which a queue stands no
/// longer: once cut short it refuses some at 90% of the capacity, too, and so
/// would never be taken for one that has shrunk.
const EXCESS: usize = 9;
/// Part of the interval, at its end, in which a peak is too recent to say that
/// the queue shrinks.
const RECENT: u32 = 4;

/// Tells a standing queue from a burst.
///
/// A burst's queue is long but shrinks, and everyone in it will be served; if
/// it were cut, callers would be refused for nothing. A standing queue never
/// empties and does not shrink: it adds its length to everyone's wait and
/// serves no one more. So a queue stands when over a whole interval it was
/// never empty, and its peak is recent or since then as much came in as was
/// served. It stands no longer after an interval in which nobody
/// was refused, or hardly more came in than was started.
#[derive(Clone, Debug)]
pub(super) struct Standing {
    arrived: usize,
    arrived_since_peak: usize,
    emptied: bool,
    peak: usize,
    peak_at: Moment,
    pressure: f64,
    refused: bool,
    since: Moment,
    stands: bool,
    started: usize,
    started_since_peak: usize,
}

impl Standing {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            arrived: 0,
            arrived_since_peak: 0,
            emptied: false,
            peak: 0,
            peak_at: now,
            pressure: 1.0,
            refused: false,
            since: now,
            stands: false,
            started: 0,
            started_since_peak: 0,
        }
    }

    /// Notes a request that came.
    pub(super) fn arrive(&mut self) {
        self.arrived += 1;
        self.arrived_since_peak += 1;
    }

    /// Notes a request that was refused for want of room.
    pub(super) fn refuse(&mut self) {
        self.refused = true;
    }

    /// Notes a request that was started.
    pub(super) fn start(&mut self) {
        self.started += 1;
        self.started_since_peak += 1;
    }

    /// Judges the queue, which now holds `waiting` requests.
    pub(super) fn judge(&mut self, now: Moment, waiting: usize, service: Duration, slots: usize) {
        self.emptied |= waiting == 0;
        if waiting >= self.peak {
            self.arrived_since_peak = 0;
            self.peak = waiting;
            self.peak_at = now;
            self.started_since_peak = 0;
        }
        let over = now >= self.since + INTERVAL.max(service * STARTS / slots.max(1) as u32);
        if over {
            let recent = (now - self.peak_at) * RECENT < now - self.since;
            let even = self.arrived_since_peak * 8 >= self.started_since_peak * EIGHTHS;
            let grows = recent || even;
            let full = !self.emptied && grows;
            let more = self.arrived * 8 > self.started * EXCESS;
            self.stands = full || self.stands && self.refused && more;
            self.pressure = self.arrived.max(1) as f64 / self.started.max(1) as f64;
        }
        // An interval starts with the queue, so that one that stands is found
        // one interval after its start.
        if over || waiting == 0 && !self.stands {
            let Self { pressure, stands, .. } = *self;
            *self = Self { peak: waiting, pressure, stands, ..Self::new(now) };
        }
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
