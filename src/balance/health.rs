use crate::health::Monitor;

/// Health of upstreams as the balancer needs it.
pub trait Health {
    /// Whether this entry is due to send an upstream a request, as no entry has for some time.
    fn is_neglected(&self, _upstream: &str) -> bool {
        false
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
