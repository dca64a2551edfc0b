use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;

/// Exponential backoff between an upstream's ejection and its next trial.
///
/// The interval doubles for an upstream that flaps: otherwise each return would
/// cost callers the same failures again, for as long as it flaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoff {
    attempts: u32,
    until: Moment,
}

impl Backoff {
    /// First interval: several times the detection time, so that a trial costs
    /// less than the failure did.
    const MIN: Duration = Duration::from_secs(5);
    /// Longest interval, so that a repaired upstream returns within minutes.
    const MAX: Duration = Duration::from_secs(300);
    /// Time in service, in multiples of the last interval, that undoes one doubling.
    const DECAY_FACTOR: u32 = 4;

    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.until
    }

    /// Undoes one doubling if the upstream has been in service for long enough.
    pub(crate) fn decay(&mut self, now: Moment) {
        if self.attempts > 0 && now >= self.until + self.interval() * Self::DECAY_FACTOR {
            self.attempts -= 1;
            self.until = now;
        }
    }

    /// Delays the next trial by at least a quarter of the interval from now,
    /// because another entry suspects the upstream.
    pub(crate) fn postpone(&mut self, now: Moment) {
        self.until = self.until.max(now + self.interval() / 4);
    }

    /// Starts counting the time in service, when the upstream is readmitted.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.until = now;
    }

    /// Starts the interval after an ejection. Jitter spreads the trials of the
    /// entries, so that the first one to fail warns the others.
    pub(crate) fn start(&mut self, now: Moment, random: &mut ChaCha8Rng) {
        self.attempts = (self.attempts + 1).min(8);
        let jitter = random.random_range(1.0..1.5);
        self.until = now + self.interval().mul_f64(jitter);
    }

    fn interval(&self) -> Duration {
        let doublings = self.attempts.saturating_sub(1);
        (Self::MIN * 2_u32.pow(doublings)).min(Self::MAX)
    }
}
