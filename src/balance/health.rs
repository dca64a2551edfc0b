use crate::balance::Duty;
use crate::health::Monitor;

/// Health of upstreams as the balancer needs it.
pub trait Health {
    /// Duty of this entry to send an upstream a request in time.
    fn duty(&self, _upstream: &str) -> Option<Duty> {
        None
    }

    /// Whether an upstream gets requests only where no other has room.
    fn is_suspect(&self, _upstream: &str) -> bool {
        false
    }

    /// Share of its usual load that an upstream should get; zero if ejected.
    fn weight(&self, upstream: &str) -> f64;
}

impl Health for Monitor {
    fn weight(&self, upstream: &str) -> f64 {
        Monitor::weight(self, upstream)
    }
}
