use std::time::Duration;

use crate::clock::Moment;

/// Exponentially decaying counters of one upstream's recent outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    answers: f64,
    at: Moment,
    excess: f64,
    failures: f64,
    outcomes: f64,
}

impl Counters {
    /// Time constant of the decay: covers several outcomes at a few a second.
    const TIME_CONSTANT: Duration = Duration::from_secs(2);

    pub(crate) fn add(&mut self, now: Moment, is_failure: bool, excess: Option<f64>) {
        self.decay(now);
        self.outcomes += 1.0;
        if is_failure {
            self.failures += 1.0;
        }
        if let Some(excess) = excess {
            self.answers += 1.0;
            self.excess += excess;
        }
    }

    pub(crate) fn answers(&self) -> f64 {
        self.answers
    }

    /// Mean excess of the latency over the baseline, as a difference of logarithms.
    pub(crate) fn excess(&self) -> f64 {
        self.excess / self.answers.max(f64::EPSILON)
    }

    pub(crate) fn decay(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-passed / Self::TIME_CONSTANT.as_secs_f64()).exp();
        self.answers *= factor;
        self.excess *= factor;
        self.failures *= factor;
        self.outcomes *= factor;
        self.at = self.at.max(now);
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failures / self.outcomes.max(f64::EPSILON)
    }

    pub(crate) fn outcomes(&self) -> f64 {
        self.outcomes
    }
}
