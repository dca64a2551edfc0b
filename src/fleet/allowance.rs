//! Byte allowance of two token buckets.

use crate::clock::Moment;

/// Limit on the bytes sent, both sustained and during a burst.
///
/// The `long` bucket bounds the sustained rate, so that a node stays within its share even if
/// members flap. It is as large as the largest burst, such as a full table for a process that
/// starts. The `short` bucket bounds the rate of a burst, so that it delays no other traffic on
/// the network of a small VM.
#[derive(Clone, Debug)]
pub struct Allowance {
    long: Bucket,
    short: Bucket,
}

/// Token bucket over bytes. It may go into debt by one message, because otherwise a message larger
/// than the remaining level would be charged only in part.
#[derive(Clone, Debug)]
struct Bucket {
    refilled_at: Moment,
    burst: i64,
    level: i64,
    rate: u64,
}

impl Allowance {
    /// Capacity of the short bucket, in seconds of `pace`.
    const PACE_SECONDS: u64 = 4;

    /// Creates a full allowance of `burst` bytes, refilled by `rate` bytes per second, of which
    /// at most `pace` bytes per second may be used.
    pub fn new(rate: u64, burst: u64, pace: u64) -> Self {
        Self { long: Bucket::new(rate, burst), short: Bucket::new(pace, pace * Self::PACE_SECONDS) }
    }

    /// Whether any bytes may be sent.
    pub fn is_open(&mut self, now: Moment) -> bool {
        self.long.refill(now);
        self.short.refill(now);
        self.long.level > 0 && self.short.level > 0
    }

    /// Deducts `bytes`.
    pub fn take(&mut self, bytes: usize) {
        self.long.level -= bytes as i64;
        self.short.level -= bytes as i64;
    }
}

impl Bucket {
    fn new(rate: u64, burst: u64) -> Self {
        let burst = burst as i64;
        Self { refilled_at: Moment::ZERO, burst, level: burst, rate }
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.refilled_at).as_millis() as u64;
        let bytes = (elapsed.saturating_mul(self.rate) / 1000) as i64;
        if bytes > 0 {
            self.refilled_at = now;
            self.level = self.level.saturating_add(bytes).min(self.burst);
        }
    }
}
