//! Whether a service loses many requests although upstreams are out.

use std::time::Duration;

use super::Counts;
use crate::clock::Moment;

/// Share of a service's requests, trials apart, that is many. Operators want seven in ten of
/// the sound upstreams in use where one in ten is lost, trials among them.
const MANY: f64 = 0.08;
/// Fewest of them that show it: the first request of a service may be a lost one.
const LEAST: u32 = 3;
/// How long that counts after it was last seen. A share that comes and goes about the limit
/// would else, each time, find sound upstreams that nobody tried for seconds.
const HELD: Duration = Duration::from_secs(10);
/// Pause between two looks at that share: it changes with the window that it is counted over.
const LOOK: Duration = Duration::from_millis(250);

/// Whether a service loses many requests although upstreams are out.
///
/// **Load pattern.** The links of most upstreams lose answers, beside those that are out for a
/// fault of their own. Of the few that are sound some are out as well, and not tried for seconds.
///
/// **Without it.** Where requests may run only once, up to half of the sound upstreams have no
/// work while one request in ten is lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    looked_at: Moment,
    until: Moment,
}

impl Losses {
    /// Looks at what each upstream's callers lately received.
    pub fn update(&mut self, now: Moment, recent: impl Iterator<Item = Counts>) {
        if now < self.looked_at + LOOK {
            return;
        }
        self.looked_at = now;
        let mut sum = Counts::default();
        recent.for_each(|counts| sum.add(&counts));
        if sum.failures() >= LEAST && sum.failing() >= MANY {
            self.until = now + HELD;
        }
    }

    /// Whether it does, or did a while ago.
    pub fn is_high(&self, now: Moment) -> bool {
        now < self.until
    }
}
