//! Log-likelihood ratios of one outcome, "gray" over "sound", in nats.

/// Smallest usual failure rate: lower rates can't be told apart within the time
/// that detection has.
const MIN_USUAL_FAILURE_RATE: f64 = 0.01;
/// Smallest failure rate that counts as gray.
const MIN_GRAY_FAILURE_RATE: f64 = 0.3;
/// Factor on the usual failure rate, for the estimation errors of the baseline
/// and of the peers.
const FAILURE_RATE_MARGIN: f64 = 1.5;
/// Factor on the usual latency that counts as gray.
const GRAY_LATENCY_FACTOR: f64 = 2.5;
/// Bounds of the step for one latency. A sound upstream has an outlier now and
/// then, which a normal distribution all but rules out: the upper bound treats
/// one as having a probability of 8 in 100.
const LATENCY_STEP_BOUNDS: (f64, f64) = (-1.5, 2.5);
/// Largest step for one waiting request.
const MAX_WAITING_STEP: f64 = 2.5;

/// Step for a success or a failure, given the failure rates of the baseline and
/// of the peers.
pub(crate) fn failure_step(is_failure: bool, baseline_rate: f64, peer_rate: f64) -> f64 {
    let usual =
        (baseline_rate.max(peer_rate) * FAILURE_RATE_MARGIN).clamp(MIN_USUAL_FAILURE_RATE, 0.95);
    let gray = (usual * 3.0).clamp(MIN_GRAY_FAILURE_RATE, 0.98);
    if is_failure { (gray / usual).ln() } else { ((1.0 - gray) / (1.0 - usual)).ln() }
}

/// Step for a latency. `excess` is above the baseline and the peers' shift, and
/// `spread` is the usual spread, both of logarithms.
pub(crate) fn latency_step(excess: f64, spread: f64) -> f64 {
    let distance = GRAY_LATENCY_FACTOR.ln() / spread;
    let step = distance * excess / spread - distance * distance / 2.0;
    step.clamp(LATENCY_STEP_BOUNDS.0, LATENCY_STEP_BOUNDS.1)
}

/// Evidence of a request that has waited by `excess` longer than usual: minus the
/// logarithm of the probability that a sound upstream lets a request wait so long.
pub(crate) fn waiting_step(excess: f64, spread: f64) -> f64 {
    const MIN_DEVIATIONS: f64 = 2.0;
    let deviations = excess / spread;
    if deviations < MIN_DEVIATIONS || excess < GRAY_LATENCY_FACTOR.ln() {
        return 0.0;
    }
    (deviations * deviations / 2.0).min(MAX_WAITING_STEP)
}
