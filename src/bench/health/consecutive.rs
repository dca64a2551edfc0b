use std::time::Duration;

use super::detector::Detector;
use super::detector::OUT;
use crate::clock::Moment;
use crate::health::Kind;

/// Five failures in a row eject.
#[derive(Debug)]
pub(crate) struct Consecutive {
    failures: Vec<u32>,
    out_until: Vec<Moment>,
}

impl Consecutive {
    const FAILURES: u32 = 5;

    pub(crate) fn new(upstreams: usize) -> Self {
        Self { failures: vec![0; upstreams], out_until: vec![Moment::ZERO; upstreams] }
    }
}

impl Detector for Consecutive {
    fn ejects(&mut self, now: Moment, upstream: usize, kind: Kind, _latency: Duration) -> bool {
        if kind == Kind::Refused || now < self.out_until[upstream] {
            return false;
        }
        let failures = &mut self.failures[upstream];
        *failures = if kind.is_failure() { *failures + 1 } else { 0 };
        if *failures < Self::FAILURES {
            return false;
        }
        *failures = 0;
        self.out_until[upstream] = now + OUT;
        true
    }
}
