use std::time::Duration;

/// Usual latency and failure rate of one upstream, as one entry sees them.
///
/// Latencies are kept as logarithms because they vary by factors. A permanently
/// slow upstream has a high mean and is compared with that.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    answers: u32,
    failure_rate: f64,
    mean: f64,
    outcomes: u32,
    variance: f64,
}

impl Baseline {
    /// Answers needed before latencies are compared: with twenty, the mean is
    /// accurate to a quarter of a standard deviation.
    const MIN_ANSWERS: u32 = 20;
    /// Smallest weight of a new sample: averages over about three minutes at the
    /// three outcomes a second that one entry sees of one upstream.
    const MIN_SAMPLE_WEIGHT: f64 = 0.002;
    /// Successes assumed before the first outcome, so that an upstream that fails
    /// from its first request on doesn't get a high usual failure rate.
    const PRIOR_SUCCESSES: u32 = 100;
    /// Smallest spread, so that an upstream with even latencies isn't ejected for
    /// a deviation of a few per cent.
    const MIN_SPREAD: f64 = 0.25;

    /// Usual rate of failures.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether there were enough answers to compare latencies.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.answers >= Self::MIN_ANSWERS
    }

    /// Adds one outcome to the averages.
    pub fn learn(&mut self, is_failure: bool, latency: Duration) {
        self.outcomes = self.outcomes.saturating_add(1);
        let failure = f64::from(u8::from(is_failure));
        self.failure_rate +=
            Self::sample_weight(self.outcomes.saturating_add(Self::PRIOR_SUCCESSES))
                * (failure - self.failure_rate);
        if !is_failure {
            self.learn_latency(latency);
        }
    }

    /// How far a latency is above the mean, as a difference of logarithms.
    #[must_use]
    pub fn excess(&self, latency: Duration) -> f64 {
        Self::log_latency(latency) - self.mean
    }

    /// Resets the latency statistics; they are learned anew from the next answers.
    pub fn reset_latency(&mut self) {
        self.answers = 0;
        self.mean = 0.0;
        self.variance = 0.0;
    }

    /// Standard deviation of the logarithm of the latency.
    #[must_use]
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(Self::MIN_SPREAD)
    }

    fn learn_latency(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        let weight = Self::sample_weight(self.answers);
        let difference = self.excess(latency);
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    fn log_latency(latency: Duration) -> f64 {
        latency.as_secs_f64().max(1e-6).ln()
    }

    fn sample_weight(count: u32) -> f64 {
        (1.0 / f64::from(count)).max(Self::MIN_SAMPLE_WEIGHT)
    }
}
