use std::time::Duration;

use super::detector::Detector;
use super::detector::OUT;
use crate::clock::Moment;
use crate::health::Kind;

/// A moving mean of the latency above a fixed bar ejects.
#[derive(Debug)]
pub(crate) struct Threshold {
    means: Vec<f64>,
    out_until: Vec<Moment>,
}

impl Threshold {
    /// Bar, in seconds: four times the usual latency.
    const BAR: f64 = 0.1;
    /// Share of the newest latency in the mean.
    const NEWEST: f64 = 0.2;

    pub(crate) fn new(upstreams: usize) -> Self {
        Self { means: vec![0.025; upstreams], out_until: vec![Moment::ZERO; upstreams] }
    }
}

impl Detector for Threshold {
    fn ejects(&mut self, now: Moment, upstream: usize, kind: Kind, latency: Duration) -> bool {
        if kind == Kind::Refused || now < self.out_until[upstream] {
            return false;
        }
        let mean = &mut self.means[upstream];
        *mean += Self::NEWEST * (latency.as_secs_f64() - *mean);
        if *mean < Self::BAR {
            return false;
        }
        *mean = 0.025;
        self.out_until[upstream] = now + OUT;
        true
    }
}
