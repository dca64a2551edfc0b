//! Log-likelihood ratios of one outcome, "gray" over "sound", in nats.

/// Failure rate that is taken for granted: rarer ones can't be told apart within
/// the time that detection has.
const USUAL_FAILURES: f64 = 0.01;
/// Least failure rate that counts as gray.
const GRAY_FAILURES: f64 = 0.3;
/// Margin over the own past and the peers, for the error of both estimates.
const MARGIN: f64 = 1.5;
/// Slowness that counts as gray, as a factor on the own past.
const GRAY_SLOWNESS: f64 = 2.5;
/// Bounds of one latency's step. A sound upstream has odd answers now and then,
/// which a normal law makes impossible: the upper bound takes them for 8 in 100.
const LATENCY_STEP: (f64, f64) = (-1.5, 2.5);
/// Most that one waiting request counts.
const WAITING_STEP: f64 = 2.5;

/// Step of a success or a failure.
pub(crate) fn failing(is_failure: bool, past: f64, peers: f64) -> f64 {
    let usual = (past.max(peers) * MARGIN).clamp(USUAL_FAILURES, 0.95);
    let gray = (usual * 3.0).clamp(GRAY_FAILURES, 0.98);
    if is_failure { (gray / usual).ln() } else { ((1.0 - gray) / (1.0 - usual)).ln() }
}

/// Step of a latency: `excess` over the own past and the peers' shift and the
/// usual `spread`, both of logarithms.
pub(crate) fn slow(excess: f64, spread: f64) -> f64 {
    let distance = GRAY_SLOWNESS.ln() / spread;
    let step = distance * excess / spread - distance * distance / 2.0;
    step.clamp(LATENCY_STEP.0, LATENCY_STEP.1)
}

/// Evidence of a request that has waited that much longer than usual: the
/// logarithm of the chance that a sound upstream lets one wait so long.
pub(crate) fn waiting(excess: f64, spread: f64) -> f64 {
    const UNUSUAL: f64 = 2.0;
    let deviations = excess / spread;
    if deviations < UNUSUAL || excess < GRAY_SLOWNESS.ln() {
        return 0.0;
    }
    (deviations * deviations / 2.0).min(WAITING_STEP)
}
