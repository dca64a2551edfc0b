use crate::health::Judge;

/// What the balance asks of health.
pub trait Verdicts {
    /// Share of its usual work that an upstream should get; nought when ejected.
    fn weight(&self, upstream: &str) -> f64;
}

impl Verdicts for Judge {
    fn weight(&self, upstream: &str) -> f64 {
        Judge::weight(self, upstream)
    }
}
