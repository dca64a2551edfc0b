//! Bytes that may be sent: two token buckets.

use crate::clock::Moment;

/// Bytes that may be sent in the long run and at a time.
///
/// The first bucket bounds the long run: whatever flaps, a node stays within its
/// share. It is as large as a bulk that has to pass now and then (a table for one
/// that starts). The second bounds how fast a bulk passes, so that it delays
/// nothing else on a small VM's network.
#[derive(Clone, Debug)]
pub struct Allowance {
    long: Bucket,
    short: Bucket,
}

/// Token bucket over bytes, which may go into debt by one message: otherwise a
/// message larger than what is left would be paid for only in part.
#[derive(Clone, Debug)]
struct Bucket {
    at: Moment,
    burst: i64,
    level: i64,
    rate: u64,
}

impl Allowance {
    /// Seconds of `pace` that may be sent at once.
    const PACE_SECONDS: u64 = 4;

    /// Full allowance of `burst` bytes, refilled by `rate` bytes a second, of which at
    /// most `pace` bytes a second may be used.
    pub fn new(rate: u64, burst: u64, pace: u64) -> Self {
        Self { long: Bucket::new(rate, burst), short: Bucket::new(pace, pace * Self::PACE_SECONDS) }
    }

    /// Whether any bytes may be sent.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.long.refill(now);
        self.short.refill(now);
        self.long.level > 0 && self.short.level > 0
    }

    /// Takes `bytes`.
    pub fn take(&mut self, bytes: usize) {
        self.long.level -= bytes as i64;
        self.short.level -= bytes as i64;
    }
}

impl Bucket {
    fn new(rate: u64, burst: u64) -> Self {
        let burst = burst as i64;
        Self { at: Moment::ZERO, burst, level: burst, rate }
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.at).as_millis() as u64;
        let bytes = (elapsed.saturating_mul(self.rate) / 1000) as i64;
        if bytes > 0 {
            self.at = now;
            self.level = self.level.saturating_add(bytes).min(self.burst);
        }
    }
}
