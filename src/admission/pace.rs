use std::collections::VecDeque;
use std::time::Duration;

/// Durations kept: enough that one outlier moves the mean by a sixteenth, and
/// few enough that a slow upstream with 4 slots shows after four rounds.
const KEPT: usize = 16;
/// How many times faster than nearly all of those kept an answer must be to
/// show that they no longer count. Lookups of one service vary less than this.
const FASTER: u32 = 4;
/// Mean before anything was seen: the time of a probe in the sizes of today.
const GUESS: Duration = Duration::from_millis(25);

/// How long requests of one kind took of late.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    recent: VecDeque<Duration>,
}

impl Pace {
    /// Notes that a request took `time`.
    ///
    /// While a slow upstream is tried by one request at a time, a window would
    /// keep callers out for many more after it has become fast again, so the
    /// first quick answer ends the window.
    pub(super) fn note(&mut self, time: Duration) {
        if time * FASTER < self.least() {
            self.recent.clear();
        }
        if self.recent.len() == KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
    }

    /// Mean time; a guess before anything was seen.
    pub(super) fn mean(&self) -> Duration {
        match self.recent.len() {
            0 => GUESS,
            count => self.recent.iter().sum::<Duration>() / count as u32,
        }
    }

    /// Time that three quarters of the requests exceed. A request with less
    /// time left than this can't be expected to end; by the mean, every second
    /// one that would have ended in time would be refused too.
    pub(super) fn least(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 4).copied().unwrap_or_default()
    }
}
