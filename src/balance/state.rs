use serde::Deserialize;
use serde::Serialize;

use crate::clock::Moment;

/// Lifecycle state of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Leaving: gets no new requests.
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
    /// Share of a cold upstream at its start: enough to fill its caches, and low enough that its
    /// slow first answers are rare.
    const INITIAL_SHARE: f64 = 0.1;

    /// Share of its usual load at `now`.
    #[must_use]
    pub fn share(self, now: Moment) -> f64 {
        match self {
            Self::Draining => 0.0,
            Self::Ready => 1.0,
            Self::Warm { since, until } => {
                let length = until.saturating_sub(since).as_secs_f64().max(f64::EPSILON);
                let passed = now.saturating_sub(since).as_secs_f64();
                Self::INITIAL_SHARE + (1.0 - Self::INITIAL_SHARE) * (passed / length).min(1.0)
            }
        }
    }
}
