use crate::health::Reason;
use crate::health::record::Record;

/// What most upstreams of the service do at the moment.
///
/// When a network, a shared store or a rise in load makes all of them slow or
/// erring, no single one is to blame, and evidence must not grow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    /// Median of the recent failure rates.
    pub(crate) failure_rate: f64,
    /// Median of the recent slowness beyond each one's own past, at least nought,
    /// as a difference of logarithms.
    pub(crate) shift: f64,
}

impl Peers {
    /// Recent outcomes that an upstream needs to be counted.
    const LEAST: f64 = 0.5;

    /// Failure rate of the median from which failures are no single one's doing:
    /// what counts as gray.
    const BAD_RATE: f64 = 0.3;
    /// Shift from which slowness is no single one's doing: twice as slow.
    const BAD_SHIFT: f64 = std::f64::consts::LN_2;

    /// Whether most are bad in the respect that one is accused of.
    pub(crate) fn share(&self, reason: Reason) -> bool {
        match reason {
            Reason::Slow => self.shift >= Self::BAD_SHIFT,
            _ => self.failure_rate >= Self::BAD_RATE,
        }
    }

    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        let mut rates = Vec::new();
        let mut shifts = Vec::new();
        for record in records {
            let recent = record.recent();
            if recent.outcomes() >= Self::LEAST {
                rates.push(recent.failure_rate());
            }
            if recent.answers() >= Self::LEAST {
                shifts.push(recent.excess());
            }
        }
        Self { failure_rate: median(rates), shift: median(shifts).max(0.0) }
    }
}

/// The lower median: of two upstreams, the better one is the measure.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or_default()
}
