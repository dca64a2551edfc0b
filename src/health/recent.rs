use std::time::Duration;

use crate::clock::Moment;

/// Outcomes of the last seconds, older ones fading out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    answers: f64,
    at: Moment,
    excess: f64,
    failures: f64,
    outcomes: f64,
}

impl Recent {
    /// Time constant: several outcomes at a few a second, and still fresh.
    const FADE: Duration = Duration::from_secs(2);

    pub(crate) fn add(&mut self, now: Moment, is_failure: bool, excess: Option<f64>) {
        self.fade(now);
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

    /// Mean slowness beyond the own past.
    pub(crate) fn excess(&self) -> f64 {
        self.excess / self.answers.max(f64::EPSILON)
    }

    pub(crate) fn fade(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let keep = (-passed / Self::FADE.as_secs_f64()).exp();
        self.answers *= keep;
        self.excess *= keep;
        self.failures *= keep;
        self.outcomes *= keep;
        self.at = self.at.max(now);
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failures / self.outcomes.max(f64::EPSILON)
    }

    pub(crate) fn outcomes(&self) -> f64 {
        self.outcomes
    }
}
