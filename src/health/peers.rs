use crate::health::Reason;
use crate::health::record::Record;

/// Current behaviour of the median upstream of the service.
///
/// When a network, a shared store or a rise in load makes all upstreams slow or
/// failing, no single one is at fault, and evidence must not grow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    /// Median of the recent failure rates.
    pub(crate) failure_rate: f64,
    /// Median of the recent latency excess over each upstream's own baseline, as a
    /// difference of logarithms; not negative.
    pub(crate) shift: f64,
}

impl Peers {
    /// Recent outcomes that an upstream needs to be counted.
    const MIN_OUTCOMES: f64 = 0.5;

    /// Median failure rate from which failures have a shared cause: the smallest
    /// rate that counts as gray.
    const SHARED_FAILURE_RATE: f64 = 0.3;
    /// Median shift from which slowness has a shared cause: twice the latency.
    const SHARED_SHIFT: f64 = std::f64::consts::LN_2;

    /// Whether the median upstream has the same fault.
    pub(crate) fn share(&self, reason: Reason) -> bool {
        match reason {
            Reason::Slow => self.shift >= Self::SHARED_SHIFT,
            _ => self.failure_rate >= Self::SHARED_FAILURE_RATE,
        }
    }

    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        let mut rates = Vec::new();
        let mut shifts = Vec::new();
        for record in records {
            let counters = record.counters();
            if counters.outcomes() >= Self::MIN_OUTCOMES {
                rates.push(counters.failure_rate());
            }
            if counters.answers() >= Self::MIN_OUTCOMES {
                shifts.push(counters.excess());
            }
        }
        Self { failure_rate: median(rates), shift: median(shifts).max(0.0) }
    }
}

/// The lower median: of two upstreams, the better one.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or_default()
}
