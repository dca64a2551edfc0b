use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent latencies kept. The 95th percentile then rests on the 12 slowest.
const SAMPLES_MAX: usize = 256;
/// Number of samples between two updates of the percentiles. Sorting on each request would add
/// about 5 us to it.
const UPDATE_INTERVAL: usize = 32;
/// Update interval until `UPDATE_INTERVAL` samples are there. If the first update took 32 samples,
/// an entry with two lookups per second to a service would send no hedge for 16 s after each start,
/// and the lookups that hang at upstreams which accept requests without responding would be lost.
const UPDATE_INTERVAL_FIRST: usize = 8;

/// Recent latencies of one service.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    new_samples: usize,
    median: Option<Duration>,
    samples: VecDeque<Duration>,
    p95: Option<Duration>,
}

impl Latency {
    /// Records that a complete response took `time`.
    pub fn record(&mut self, time: Duration) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(time);
        self.new_samples += 1;
        let interval = if self.samples.len() > UPDATE_INTERVAL {
            UPDATE_INTERVAL
        } else {
            UPDATE_INTERVAL_FIRST
        };
        if self.new_samples >= interval {
            self.new_samples = 0;
            self.update_percentiles();
        }
    }

    /// Median; `None` until there are enough samples.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// 95th percentile; `None` until there are enough samples.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn update_percentiles(&mut self) {
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted.get(sorted.len() / 2).copied();
        self.p95 = sorted.get(sorted.len() * 95 / 100).copied();
    }
}
