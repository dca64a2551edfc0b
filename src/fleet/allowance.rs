//! Bytes that may be sent: a token bucket.

use crate::clock::Moment;

/// Token bucket over bytes.
#[derive(Clone, Debug)]
pub struct Allowance {
    at: Moment,
    burst: u64,
    level: u64,
    rate: u64,
}

impl Allowance {
    /// Full bucket of `burst` bytes, refilled by `rate` bytes a second.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self { at: Moment::ZERO, burst, level: burst, rate }
    }

    /// Whether any bytes may be sent.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.refill(now);
        self.level > 0
    }

    /// Takes `bytes`, at most all that is left.
    pub fn take(&mut self, bytes: usize) {
        self.level = self.level.saturating_sub(bytes as u64);
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.at).as_millis() as u64;
        let bytes = elapsed.saturating_mul(self.rate) / 1000;
        if bytes > 0 {
            self.at = now;
            self.level = self.level.saturating_add(bytes).min(self.burst);
        }
    }
}
