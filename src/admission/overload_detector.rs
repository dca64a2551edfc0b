use std::time::Duration;

use crate::clock::Moment;

/// Shortest interval over which a queue is evaluated: CoDel's 100 ms, a worst-case round trip. A
/// shorter one would evaluate a single burst of packets.
const INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Number of requests that start in an interval at the expected service time. With fewer, random
/// variation alone keeps a queue from emptying: with eight, in front of two slots at 90% load, a
/// queue was taken for a standing one so often that 8% to 17% of requests were refused.
const INTERVAL_STARTS: u32 = 32;

/// Arrivals since the peak, in eighths of the starts since then, from which a queue is considered
/// not to shrink. Allowing for noise, that is as much as is served.
const GROWING_EIGHTHS: usize = 7;

/// Arrivals in an interval, in eighths of the starts, up to which an overload ends. A queue that is
/// cut short refuses some requests even at 90% load, so the refusals alone would never end it.
const EXCESS_EIGHTHS: usize = 9;
/// A peak within the last one in this many parts of the interval is too recent to show that the
/// queue shrinks.
const RECENT_DIVISOR: u32 = 4;

/// Distinguishes a standing queue from a burst.
///
/// The queue of a burst is long but shrinks, and all of it will be served; cutting it would refuse
/// callers for nothing. A standing queue never empties and doesn't shrink: it adds its length to
/// every wait without serving more requests.
///
/// A queue is considered standing if over a whole interval it was never empty, and its peak is
/// recent or at least as much has arrived as was served since the peak. The overload ends after an
/// interval in which nothing was refused or arrivals hardly exceeded starts.
#[derive(Clone, Debug)]
pub(super) struct OverloadDetector {
    arrived: usize,
    arrived_since_peak: usize,
    was_empty: bool,
    peak: usize,
    peak_at: Moment,
    load_ratio: f64,
    has_refused: bool,
    interval_start: Moment,
    is_overloaded: bool,
    started: usize,
    started_since_peak: usize,
}

impl OverloadDetector {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            arrived: 0,
            arrived_since_peak: 0,
            was_empty: false,
            peak: 0,
            peak_at: now,
            load_ratio: 1.0,
            has_refused: false,
            interval_start: now,
            is_overloaded: false,
            started: 0,
            started_since_peak: 0,
        }
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self) {
        self.arrived += 1;
        self.arrived_since_peak += 1;
    }

    /// Records that a request was refused for lack of room.
    pub(super) fn record_refusal(&mut self) {
        self.has_refused = true;
    }

    /// Records the start of a request.
    pub(super) fn record_start(&mut self) {
        self.started += 1;
        self.started_since_peak += 1;
    }

    /// Evaluates the queue, which now holds `waiting` requests.
    pub(super) fn update(
        &mut self,
        now: Moment,
        waiting: usize,
        service_time: Duration,
        slots: usize,
    ) {
        self.was_empty |= waiting == 0;
        if waiting >= self.peak {
            self.arrived_since_peak = 0;
            self.peak = waiting;
            self.peak_at = now;
            self.started_since_peak = 0;
        }
        let is_complete = now
            >= self.interval_start
                + INTERVAL_MIN.max(service_time * INTERVAL_STARTS / slots.max(1) as u32);
        if is_complete {
            let is_peak_recent = (now - self.peak_at) * RECENT_DIVISOR < now - self.interval_start;
            let is_sustained =
                self.arrived_since_peak * 8 >= self.started_since_peak * GROWING_EIGHTHS;
            let is_growing = is_peak_recent || is_sustained;
            let is_standing = !self.was_empty && is_growing;
            let has_excess = self.arrived * 8 > self.started * EXCESS_EIGHTHS;
            self.is_overloaded =
                is_standing || self.is_overloaded && self.has_refused && has_excess;
            self.load_ratio = self.arrived.max(1) as f64 / self.started.max(1) as f64;
        }
        // An interval also starts whenever the queue is empty, so that a standing queue is detected
        // one interval after it began.
        if is_complete || waiting == 0 && !self.is_overloaded {
            let Self { load_ratio, is_overloaded, .. } = *self;
            *self = Self { peak: waiting, load_ratio, is_overloaded, ..Self::new(now) };
        }
    }

    /// Arrivals per start over the last interval.
    pub(super) fn load_ratio(&self) -> f64 {
        self.load_ratio
    }

    /// Whether the queue is standing.
    pub(super) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
