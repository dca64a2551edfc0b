//! Whether a service loses many requests although faulty upstreams are out.

use std::time::Duration;

use super::Counts;
use crate::clock::Moment;

/// Share of lost requests that is high, not counting trials. Operators want seven in ten of the
/// sound upstreams in use when one request in ten is lost, trials included.
const HIGH_SHARE: f64 = 0.08;
/// Lost requests needed for a result: the first request of a service may be a lost one.
const FAILURES_MIN: u32 = 3;
/// How long losses count as high after they last were. If the share hovers around the limit,
/// sound upstreams would otherwise stay without trials for seconds each time.
const HIGH_HOLD: Duration = Duration::from_secs(10);
/// Interval between two evaluations; the share changes only as fast as the window it is counted
/// over.
const INTERVAL: Duration = Duration::from_millis(250);

/// Whether a service loses many requests although faulty upstreams are out.
///
/// **Load pattern.** The links of most upstreams lose answers, in addition to the upstreams that
/// are out for faults of their own. Some of the few sound upstreams are out too, and get no trial
/// for seconds.
///
/// **Without it.** Where requests are not idempotent, up to half of the sound upstreams get no
/// requests while one request in ten is lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    updated_at: Moment,
    high_until: Moment,
}

impl Losses {
    /// Evaluates the recent counts of each upstream.
    pub fn update(&mut self, now: Moment, recent: impl Iterator<Item = Counts>) {
        if now < self.updated_at + INTERVAL {
            return;
        }
        self.updated_at = now;
        let mut sum = Counts::default();
        recent.for_each(|counts| sum.add(&counts));
        if sum.failures() >= FAILURES_MIN && sum.failure_share() >= HIGH_SHARE {
            self.high_until = now + HIGH_HOLD;
        }
    }

    /// Whether many requests are lost, or were a short while ago.
    pub fn is_high(&self, now: Moment) -> bool {
        now < self.high_until
    }
}
