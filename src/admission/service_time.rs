use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent durations kept: enough that one outlier moves the mean by a sixteenth, and few
/// enough that a slow upstream with 4 slots shows after four rounds.
const SAMPLES_MAX: usize = 16;
/// A response faster than the lower quartile by more than this factor shows that the recorded
/// durations are outdated. Lookups of one service vary less.
const RESET_FACTOR: u32 = 4;
/// Mean before the first sample: the time that a typical upstream takes for a probe.
const INITIAL_MEAN: Duration = Duration::from_millis(25);

/// Recent service times of short, or of long, requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTime {
    samples: VecDeque<Duration>,
}

impl ServiceTime {
    /// Records that a request took `time`.
    ///
    /// While a slow upstream is probed by one request at a time, slow samples would keep callers
    /// out for many more probes after it has become fast again. The first fast response therefore
    /// discards them.
    pub(super) fn record(&mut self, time: Duration) {
        if time * RESET_FACTOR < self.lower_quartile() {
            self.samples.clear();
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(time);
    }

    /// Mean service time; a default before the first sample.
    pub(super) fn mean(&self) -> Duration {
        match self.samples.len() {
            0 => INITIAL_MEAN,
            count => self.samples.iter().sum::<Duration>() / count as u32,
        }
    }

    /// Duration that three quarters of the requests exceed. A request with less time left can't be
    /// expected to finish. Judged by the mean, every second request that would finish in time would
    /// be refused too.
    pub(super) fn lower_quartile(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 4).copied().unwrap_or_default()
    }
}
