use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Moment;

/// How long an ejected upstream stays out before its next trial.
///
/// Holds double for an upstream that flaps: otherwise each return costs callers
/// the same failures again, for as long as it flaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hold {
    rounds: u32,
    until: Moment,
}

impl Hold {
    /// First hold: several times the detection time, so that a trial costs less
    /// than the failure did.
    const FIRST: Duration = Duration::from_secs(5);
    /// Longest hold, so that a repaired upstream is back within minutes.
    const LONGEST: Duration = Duration::from_secs(300);
    /// Sound times the last hold, after which one doubling is forgotten.
    const FORGIVE: u32 = 4;

    pub(crate) fn is_over(&self, now: Moment) -> bool {
        now >= self.until
    }

    /// Takes one doubling back when it has been sound for long enough.
    pub(crate) fn forgive(&mut self, now: Moment) {
        if self.rounds > 0 && now >= self.until + self.length() * Self::FORGIVE {
            self.rounds -= 1;
            self.until = now;
        }
    }

    /// Puts the next trial off by a quarter, because another entry's goes badly.
    pub(crate) fn postpone(&mut self, now: Moment) {
        self.until = self.until.max(now + self.length() / 4);
    }

    /// Lets the sound time count from `now`, at a return to service.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.until = now;
    }

    /// Starts a hold. Random lengths keep the entries' trials apart, so that the
    /// first to try warns the others.
    pub(crate) fn start(&mut self, now: Moment, random: &mut ChaCha8Rng) {
        self.rounds = (self.rounds + 1).min(8);
        let stretch = random.random_range(1.0..1.5);
        self.until = now + self.length().mul_f64(stretch);
    }

    fn length(&self) -> Duration {
        let doublings = self.rounds.saturating_sub(1);
        (Self::FIRST * 2_u32.pow(doublings)).min(Self::LONGEST)
    }
}
