use std::time::Duration;

/// Initial learned limit: the slots of one typical upstream.
const INITIAL: f64 = 4.0;
/// Bounds of the learned limit.
const LEARNED_MIN: f64 = 1.0;
const LEARNED_MAX: f64 = 1024.0;
/// Minimum number of requests in a window. A median over fewer changes with each of them.
const WINDOW_REQUESTS_MIN: usize = 32;
/// Ratio of a window's median to the baseline above which requests must be queueing inside the
/// upstream. Far below 1.5, noise would be taken for a queue: if service times vary by half, the
/// median of 32 requests varies by about a tenth.
const TOLERANCE: f64 = 1.5;
/// Ratio of a window's median to the baseline below which the upstream seems to have become faster,
/// and the number of consecutive windows that must agree. With a single window, or the lowest
/// median, noise would lower the baseline until an ordinary median seemed to show a queue, and the
/// limit would shrink to its minimum.
const FASTER_RATIO: f64 = 0.6;
const FASTER_WINDOWS: usize = 3;
/// Smallest factor by which one window may reduce the limit, so that one bad window can't close the
/// gate.
const DECREASE_FACTOR_MIN: f64 = 0.7;
/// Factor on the size of a window that measures the baseline. Every later window is compared to the
/// baseline, so its noise weighs more.
const BASELINE_WINDOW_FACTOR: usize = 2;
/// Number of windows from one baseline measurement to the next.
const BASELINE_INTERVAL_WINDOWS: usize = 120;
/// Share of the limit in use while the baseline is measured. It is low enough to stay below the
/// actual slots even if the limit is three times too high, and costs at most 5% of the capacity.
const BASELINE_LIMIT_SHARE: f64 = 0.25;

/// Number of requests that may run at once: configured, or learned from latency.
///
/// With more requests than slots, the rest wait inside the upstream, and latency grows but
/// throughput doesn't. So the limit grows while it is reached and latency stays near the baseline:
/// it doubles per window until it first was too high, and then grows by one. It shrinks by the
/// ratio of baseline to latency when latency is too high.
///
/// The baseline is measured again regularly, in a window at a quarter of the limit and after the
/// requests started before have ended. A baseline that could only fall would take an upstream that
/// became slower for a full one, permanently. A window is represented by its median: with a mean, a
/// few requests about a locked record would close the gate for everyone.
#[derive(Clone, Debug)]
pub struct Limit {
    baseline: Option<f64>,
    faster_windows: usize,
    has_overshot: bool,
    given: Option<usize>,
    learned: f64,
    /// Number of requests to skip before the baseline is measured.
    settling: usize,
    times: Vec<Duration>,
    was_reached: bool,
    window_index: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            baseline: None,
            faster_windows: 0,
            has_overshot: false,
            given: None,
            learned: INITIAL,
            settling: 0,
            times: Vec::new(),
            was_reached: false,
            window_index: 0,
        }
    }
}

impl Limit {
    /// Sets the number of slots; `None` learns it.
    pub fn set_slots(&mut self, slots: Option<usize>) {
        self.given = slots;
    }

    /// Whether the limit is learned. It may then exceed the actual slots by the tolerance.
    pub fn is_learned(&self) -> bool {
        self.given.is_none()
    }

    /// Number of requests that may run at once.
    pub fn slots(&self) -> usize {
        let share = if self.is_measuring_baseline() { BASELINE_LIMIT_SHARE } else { 1.0 };
        let learned = (self.learned * share).max(LEARNED_MIN) as usize;
        self.given.unwrap_or(learned)
    }

    /// Records a short request that took `time` and ended while `running` requests ran.
    pub fn record(&mut self, time: Duration, running: usize) {
        if self.settling > 0 {
            self.settling -= 1;
            return;
        }
        self.times.push(time);
        self.was_reached |= running >= self.slots();
        let factor = if self.window_index == 0 { BASELINE_WINDOW_FACTOR } else { 1 };
        if self.times.len() >= WINDOW_REQUESTS_MIN.max(self.slots()).saturating_mul(factor) {
            self.close_window();
        }
    }

    /// Records that an upstream refused a request because it was full.
    pub fn record_shed(&mut self) {
        // The full decrease is spread over one limit's worth of refusals, because a whole window
        // may be refused at the same moment for the same reason.
        let step = 1.0 - (1.0 - DECREASE_FACTOR_MIN) / self.learned.max(1.0);
        self.learned = (self.learned * step).max(LEARNED_MIN);
    }

    fn is_measuring_baseline(&self) -> bool {
        self.window_index == 0 && self.baseline.is_some()
    }

    fn close_window(&mut self) {
        self.times.sort_unstable();
        let median = self.times[self.times.len() / 2].as_secs_f64();
        if self.window_index == 0 {
            self.baseline = Some(median);
        } else {
            self.adapt(median);
        }
        self.window_index = (self.window_index + 1) % BASELINE_INTERVAL_WINDOWS;
        self.settling = if self.window_index == 0 { self.learned as usize } else { 0 };
        self.times.clear();
        self.was_reached = false;
    }

    fn adapt(&mut self, median: f64) {
        let baseline = self.baseline.unwrap_or(median);
        self.faster_windows =
            if median < baseline * FASTER_RATIO { self.faster_windows + 1 } else { 0 };
        if self.faster_windows >= FASTER_WINDOWS {
            self.baseline = Some(median);
            self.faster_windows = 0;
        }
        if median > baseline * TOLERANCE {
            let ratio = baseline * TOLERANCE / median;
            self.learned = (self.learned * ratio.max(DECREASE_FACTOR_MIN)).max(LEARNED_MIN);
            self.has_overshot = true;
        } else if self.was_reached {
            let step = if self.has_overshot { 1.0 } else { self.learned };
            self.learned = (self.learned + step).min(LEARNED_MAX);
        }
    }
}
