use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::health::aspect::Aspect;

/// What the operator sets for a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Setup {
    /// Upstreams that must stay in service, by count; all of them if there are fewer.
    pub floor_count: usize,
    /// Share of the announced slots that must stay in service, 0.0 to 1.0.
    pub floor_share: f64,
    /// From 0.0, few false ejections, to 1.0, fast detection.
    pub sensitivity: f64,
}

impl Setup {
    /// Time between two ticks: a tenth of the fastest detection aimed at, so that
    /// waiting for a tick adds little to it.
    pub const TICK: Duration = Duration::from_millis(100);

    /// Evidence of this entry alone that convicts, in nats. Each outcome of a
    /// sound upstream starts a false conviction with a chance of about
    /// `exp(-threshold)`; the upper end keeps 430,000 outcomes an hour below
    /// 0.001 of them, the lower end is three to four failures in a row.
    #[must_use]
    pub fn own_threshold(&self) -> f64 {
        self.between(20.0, 12.0)
    }

    /// Evidence of all entries together that convicts, in nats. Higher than for
    /// one entry because causes that entries share (a pause of the upstream, a
    /// rise in load) make their evidence depend on each other; highest for
    /// slowness, as one long job delays all that queue behind it.
    pub(crate) fn pooled_threshold(&self, aspect: Aspect) -> f64 {
        let threshold = self.between(50.0, 16.0);
        match aspect {
            Aspect::Failing | Aspect::Silent => threshold,
            Aspect::Slow => threshold * 1.5,
        }
    }

    /// How long evidence must stay above its threshold. Slowness takes longer,
    /// as a pause of the upstream, such as a garbage collection, delays the
    /// requests of all entries at once.
    pub(crate) fn persistence(&self, aspect: Aspect) -> Duration {
        let seconds = match aspect {
            Aspect::Failing | Aspect::Silent => self.between(1.0, 0.2),
            Aspect::Slow => self.between(1.0, 0.4),
        };
        Duration::from_secs_f64(seconds)
    }

    /// Pause of a sound upstream that is not taken for silence.
    pub(crate) fn pause(&self) -> Duration {
        Duration::from_secs_f64(self.between(0.5, 0.25))
    }

    fn between(&self, careful: f64, fast: f64) -> f64 {
        let share = self.sensitivity.clamp(0.0, 1.0);
        careful + (fast - careful) * share
    }
}

impl Default for Setup {
    fn default() -> Self {
        Self { floor_count: 1, floor_share: 0.5, sensitivity: 0.5 }
    }
}
