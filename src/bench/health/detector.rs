use std::time::Duration;

use crate::clock::Moment;
use crate::health::Kind;

/// A way of detecting that is measured.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Way {
    Consecutive,
    Judge,
    Threshold,
}

/// One ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ejection {
    pub(crate) at: Moment,
    pub(crate) entry: usize,
    pub(crate) upstream: usize,
    pub(crate) way: Way,
}

/// A simple detector of one entry, for comparison.
pub(crate) trait Detector {
    /// Whether this outcome ejects the upstream.
    fn ejects(&mut self, now: Moment, upstream: usize, kind: Kind, latency: Duration) -> bool;
}

/// How long the simple detectors keep an upstream out.
pub(crate) const OUT: Duration = Duration::from_secs(10);
