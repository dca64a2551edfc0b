use std::time::Duration;

/// Latencies and failures that are usual for one upstream, seen from one entry.
///
/// Logarithms of latencies, as latencies spread by factors; a permanently slow
/// upstream has a high mean, and is judged against that.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    answers: u32,
    failure_rate: f64,
    mean: f64,
    outcomes: u32,
    variance: f64,
}

impl Baseline {
    /// Answers needed before latency is evidence: with twenty the mean stands
    /// within a quarter of a standard deviation.
    const READY: u32 = 20;
    /// Share of the newest sample once many are in: about three minutes at the
    /// three outcomes a second which one entry sees of one upstream.
    const RATE: f64 = 0.002;
    /// Sound outcomes presumed before the first, so that an upstream that fails
    /// from its first request on doesn't make failing its usual way.
    const PRESUMED: u32 = 100;
    /// Least spread taken for granted, so that an even upstream isn't convicted
    /// by a few per cent.
    const SPREAD: f64 = 0.25;

    /// Usual rate of failures.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether enough answers were seen to compare latencies with.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.answers >= Self::READY
    }

    /// Takes one outcome as usual.
    pub fn learn(&mut self, is_failure: bool, latency: Duration) {
        self.outcomes = self.outcomes.saturating_add(1);
        let failure = f64::from(u8::from(is_failure));
        self.failure_rate += Self::rate(self.outcomes.saturating_add(Self::PRESUMED))
            * (failure - self.failure_rate);
        if !is_failure {
            self.learn_latency(latency);
        }
    }

    /// How far a latency lies above the usual one, as a difference of logarithms.
    #[must_use]
    pub fn excess(&self, latency: Duration) -> f64 {
        Self::logarithm(latency) - self.mean
    }

    /// Forgets latencies, so that those to come are taken as usual.
    pub fn forget_latency(&mut self) {
        self.answers = 0;
        self.mean = 0.0;
        self.variance = 0.0;
    }

    /// Standard deviation of the logarithm of the latency.
    #[must_use]
    pub fn spread(&self) -> f64 {
        self.variance.sqrt().max(Self::SPREAD)
    }

    fn learn_latency(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        let rate = Self::rate(self.answers);
        let difference = self.excess(latency);
        self.mean += rate * difference;
        self.variance = (1.0 - rate) * (self.variance + rate * difference * difference);
    }

    fn logarithm(latency: Duration) -> f64 {
        latency.as_secs_f64().max(1e-6).ln()
    }

    fn rate(count: u32) -> f64 {
        (1.0 / f64::from(count)).max(Self::RATE)
    }
}
