//! Link of an entry, which its callers use too.

use std::time::Duration;

use hemlockfield::clock::Moment;

/// Time until a lost packet is sent again.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// One direction of an entry's link: messages wait behind the packets of callers and behind each
/// other.
#[derive(Clone, Debug)]
pub(super) struct Link {
    bytes_per_second: f64,
    free_at: Moment,
    /// How long each message waits behind packets of callers.
    pub(super) wait: Duration,
}

impl Link {
    pub(super) fn new(bytes_per_second: f64) -> Self {
        Self { bytes_per_second, free_at: Moment::ZERO, wait: Duration::ZERO }
    }

    /// When a message that is sent now arrives, without the time to travel.
    pub(super) fn send(&mut self, now: Moment, bytes: usize, is_lost: bool) -> Moment {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let lost = if is_lost { RETRANSMISSION } else { Duration::ZERO };
        self.free_at = self.free_at.max(now + self.wait) + time + lost;
        self.free_at
    }
}
