use crate::health::Judge;

/// What the balance asks of health.
pub trait Health {
    /// Whether an upstream gets work only where no other has room.
    fn is_suspect(&self, _upstream: &str) -> bool {
        false
    }

    /// Share of its usual work that an upstream should get; nought when ejected.
    fn weight(&self, upstream: &str) -> f64;
}

impl Health for Judge {
    fn weight(&self, upstream: &str) -> f64 {
        Judge::weight(self, upstream)
    }
}
