use std::time::Duration;

/// Where learning starts: the slots of one upstream in the sizes of today.
const FIRST: f64 = 4.0;
/// Least and most that is learned.
const LEAST: f64 = 1.0;
const MOST: f64 = 1024.0;
/// Requests in a window at least: a median over fewer jumps with each of them.
const WINDOW: usize = 32;
/// Latency, against the base, above which requests must be queueing inside the
/// upstream. Much below 1.5 the noise of a window's median is taken for a queue:
/// where service times vary by half, that of 32 requests varies by about a tenth.
const TOLERANCE: f64 = 1.5;
/// Median, against the base, below which the upstream seems to have become
/// faster, and windows in a row that must say so. By one window, or by the
/// least median, noise would take the base down until an ordinary median
/// seemed to show a queue, and the limit would starve.
const FASTER: f64 = 0.6;
const AGREE: usize = 3;
/// Least that remains in one step down, so one bad window can't close the gate.
const STEP: f64 = 0.7;
/// Size of a window that measures the base, against the others: every later
/// window is judged by it, so its noise weighs more.
const CAREFUL: usize = 2;
/// Windows between two measurements of the base.
const WINDOWS: usize = 120;
/// Share of the limit in the window that measures the base: low enough to be
/// under the slots even where the limit is three times as high, and with it no
/// more than 5% of the capacity is spent on measuring.
const DIP: f64 = 0.25;

/// Requests that may run at once: given, or learned from latency.
///
/// With more requests than an upstream has slots, the rest wait inside it and
/// latency grows with them, but not the throughput. So the limit grows while it
/// is used up and latency stays near the base, twofold a window until it first
/// was too high and then by one, and shrinks with the ratio when it does not. The base is measured anew in a window at
/// a quarter of the limit, after what was started before has ended; a base that only
/// ever sank would take an upstream that has become slower for one that is
/// full, for good. A window counts by its median: a few requests about a locked
/// record would drag a mean up and close the gate for everyone.
#[derive(Clone, Debug)]
pub struct Limit {
    base: Option<f64>,
    faster: usize,
    found: bool,
    given: Option<usize>,
    learned: f64,
    /// Requests still to pass before a measurement counts.
    settle: usize,
    times: Vec<Duration>,
    used: bool,
    windows: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            base: None,
            faster: 0,
            found: false,
            given: None,
            learned: FIRST,
            settle: 0,
            times: Vec::new(),
            used: false,
            windows: 0,
        }
    }
}

impl Limit {
    /// Sets the slots, or lets them be learned.
    pub fn give(&mut self, slots: Option<usize>) {
        self.given = slots;
    }

    /// Whether the slots are learned, and may so exceed those there are by
    /// the tolerance.
    pub fn is_learned(&self) -> bool {
        self.given.is_none()
    }

    /// Requests that may run at once.
    pub fn slots(&self) -> usize {
        let dip = if self.measures() { DIP } else { 1.0 };
        let learned = (self.learned * dip).max(LEAST) as usize;
        self.given.unwrap_or(learned)
    }

    /// Notes a short request that took `time` while `running` ran.
    pub fn note(&mut self, time: Duration, running: usize) {
        if self.settle > 0 {
            self.settle -= 1;
            return;
        }
        self.times.push(time);
        self.used |= running >= self.slots();
        let careful = if self.windows == 0 { CAREFUL } else { 1 };
        if self.times.len() >= WINDOW.max(self.slots()).saturating_mul(careful) {
            self.close();
        }
    }

    /// Notes that an upstream refused a request because it was full.
    pub fn shed(&mut self) {
        // One step for each slot's worth of refusals, not for each refusal: a
        // whole window may be refused at the same moment for the same reason.
        let step = 1.0 - (1.0 - STEP) / self.learned.max(1.0);
        self.learned = (self.learned * step).max(LEAST);
    }

    fn measures(&self) -> bool {
        self.windows == 0 && self.base.is_some()
    }

    fn close(&mut self) {
        self.times.sort_unstable();
        let median = self.times[self.times.len() / 2].as_secs_f64();
        if self.windows == 0 {
            self.base = Some(median);
        } else {
            self.adapt(median);
        }
        self.windows = (self.windows + 1) % WINDOWS;
        self.settle = if self.windows == 0 { self.learned as usize } else { 0 };
        self.times.clear();
        self.used = false;
    }

    fn adapt(&mut self, median: f64) {
        let base = self.base.unwrap_or(median);
        self.faster = if median < base * FASTER { self.faster + 1 } else { 0 };
        if self.faster >= AGREE {
            self.base = Some(median);
            self.faster = 0;
        }
        if median > base * TOLERANCE {
            let ratio = base * TOLERANCE / median;
            self.learned = (self.learned * ratio.max(STEP)).max(LEAST);
            self.found = true;
        } else if self.used {
            let step = if self.found { 1.0 } else { self.learned };
            self.learned = (self.learned + step).min(MOST);
        }
    }
}
