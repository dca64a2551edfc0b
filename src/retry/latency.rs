use std::collections::VecDeque;
use std::time::Duration;

/// Times kept: the 95th percentile then rests on the 12 slowest.
const KEPT: usize = 256;
/// Times after which percentiles are worked out anew; sorting for each request
/// would cost about 5 us of it.
const EVERY: usize = 32;
/// The same until so many have been seen. With the first 32, an entry that gets two lookups a
/// second of a service sends no second copy for 16 s after each start: of 131 lookups that one
/// day lost to upstreams that hold what they get, none was sent again.
const FIRST: usize = 8;

/// How long answers of one service took of late.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    fresh: usize,
    median: Option<Duration>,
    recent: VecDeque<Duration>,
    tail: Option<Duration>,
}

impl Latency {
    /// Notes that a whole answer took `time`.
    pub fn note(&mut self, time: Duration) {
        if self.recent.len() == KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
        self.fresh += 1;
        let every = if self.recent.len() > EVERY { EVERY } else { FIRST };
        if self.fresh >= every {
            self.fresh = 0;
            self.sort();
        }
    }

    /// Median; `None` until enough was seen.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// 95th percentile; `None` until enough was seen.
    pub fn tail(&self) -> Option<Duration> {
        self.tail
    }

    fn sort(&mut self) {
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        self.median = sorted.get(sorted.len() / 2).copied();
        self.tail = sorted.get(sorted.len() * 95 / 100).copied();
    }
}
