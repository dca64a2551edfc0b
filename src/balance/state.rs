use serde::Deserialize;
use serde::Serialize;

use crate::clock::Moment;

/// Where an upstream is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Leaving: gets no new work.
    Draining,
    /// Takes its full share.
    Ready,
    /// Starting: its share rises from `since` to `until`.
    Warm {
        /// When it was announced.
        since: Moment,
        /// When it is expected to take a full share.
        until: Moment,
    },
}

impl State {
    /// First share of a cold upstream: enough to fill its caches, and few enough
    /// that its slow first answers are rare.
    const COLD: f64 = 0.1;

    /// Share of its usual work at `now`.
    #[must_use]
    pub fn share(self, now: Moment) -> f64 {
        match self {
            Self::Draining => 0.0,
            Self::Ready => 1.0,
            Self::Warm { since, until } => {
                let length = until.saturating_sub(since).as_secs_f64().max(f64::EPSILON);
                let passed = now.saturating_sub(since).as_secs_f64();
                Self::COLD + (1.0 - Self::COLD) * (passed / length).min(1.0)
            }
        }
    }
}
