use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::health::fault::Fault;

/// Health configuration of a service, set by the operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Number of upstreams that must stay in service; all of them if there are fewer.
    pub floor_count: usize,
    /// Share of the announced slots that must stay in service, 0.0 to 1.0.
    pub floor_share: f64,
    /// From 0.0, few false ejections, to 1.0, fast detection.
    pub sensitivity: f64,
}

impl Config {
    /// Time between two ticks: a tenth of the fastest detection aimed at, so that
    /// waiting for a tick adds little to it.
    pub const TICK: Duration = Duration::from_millis(100);

    /// Evidence of this entry alone that detects a fault, in nats.
    ///
    /// Each outcome of a sound upstream starts a false detection with a probability
    /// of about `exp(-threshold)`. At sensitivity 0.0, that is less than 0.001 false
    /// detections in an hour of 430,000 outcomes; at 1.0, three to four failures in
    /// a row are enough.
    #[must_use]
    pub fn own_threshold(&self) -> f64 {
        self.interpolate(20.0, 12.0)
    }

    /// Evidence of all entries together that detects a fault, in nats.
    ///
    /// Higher than for one entry, because shared causes (a pause of the upstream, a
    /// rise in load) make the evidence of the entries dependent. Highest for
    /// slowness, as one long job delays all that queue behind it.
    pub(crate) fn pooled_threshold(&self, fault: Fault) -> f64 {
        let threshold = self.interpolate(50.0, 16.0);
        match fault {
            Fault::Failing | Fault::Silent => threshold,
            Fault::Slow => threshold * 1.5,
        }
    }

    /// How long evidence must stay above its threshold. Slowness takes longer, as a
    /// pause of the upstream, such as a garbage collection, delays the requests of
    /// all entries at once.
    pub(crate) fn persistence(&self, fault: Fault) -> Duration {
        let seconds = match fault {
            Fault::Failing | Fault::Silent => self.interpolate(1.0, 0.2),
            Fault::Slow => self.interpolate(1.0, 0.4),
        };
        Duration::from_secs_f64(seconds)
    }

    /// Longest pause of a sound upstream that isn't counted as waiting time.
    pub(crate) fn pause(&self) -> Duration {
        Duration::from_secs_f64(self.interpolate(0.5, 0.25))
    }

    fn interpolate(&self, insensitive: f64, sensitive: f64) -> f64 {
        let share = self.sensitivity.clamp(0.0, 1.0);
        insensitive + (sensitive - insensitive) * share
    }
}

impl Default for Config {
    fn default() -> Self {
        Self { floor_count: 1, floor_share: 0.5, sensitivity: 0.5 }
    }
}
