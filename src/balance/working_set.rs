//! How many of the near upstreams an entry uses.
//!
//! **Load pattern.** A service has far more upstreams than its requests need: each of them would
//! get a request every few seconds. At any time some fail, each for seconds.
//!
//! **Without it.** A fault is met by a new request each time, since nobody has sent one there
//! recently, and most connections are opened for one request.
//!
//! **How.** An entry sends its requests to a few upstreams that have just served it, the first ones
//! by rendezvous hash, and replaces those that fail by others, which requests that can be repeated
//! try first. The fewer are in use, the fewer faults are met. The set grows with the entry's requests
//! in flight, and holds all upstreams if entries use a twentieth of all slots. Losses and refusals
//! are no reason to spread: unknown upstreams lose more, and those that refuse are passed over.

use std::time::Duration;

use crate::clock::Moment;

/// Utilization of all slots from which on all upstreams are used. Above it, an upstream gets a
/// request within the two seconds in which operators want most sound ones in use while many
/// requests are lost.
const FULL_UTILIZATION: f64 = 0.05;
/// Utilization of the used upstreams' slots at the peak of an entry.
const PEAK_UTILIZATION: f64 = 0.7;
/// Fewest upstreams: while one is down and another full, a third serves.
const MIN_SIZE: usize = 3;
/// Time in which the remembered peak falls to a third.
const PEAK_DECAY: Duration = Duration::from_secs(10);

/// How many of the near upstreams an entry uses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkingSet {
    /// Most requests in flight, decaying since `peak_at`.
    peak: f64,
    peak_at: Moment,
}

impl WorkingSet {
    /// Records the requests in flight at near upstreams, with the one that begins.
    pub(crate) fn record_in_flight(&mut self, now: Moment, in_flight: usize) {
        let age = now.saturating_sub(self.peak_at).as_secs_f64();
        let decayed = self.peak * (-age / PEAK_DECAY.as_secs_f64()).exp();
        self.peak = decayed.max(in_flight as f64);
        self.peak_at = now;
    }

    /// Number of upstreams to use out of `count` near ones with `slots` in total, of which `share`
    /// slots are this entry's part.
    pub(crate) fn size(&self, count: usize, slots: f64, share: f64) -> usize {
        let utilization = self.peak / share.max(1.0);
        if utilization >= FULL_UTILIZATION {
            return count;
        }
        let slots_each = slots / count.max(1) as f64;
        let needed = self.peak / (slots_each * PEAK_UTILIZATION).max(f64::MIN_POSITIVE);
        (needed.ceil() as usize).clamp(MIN_SIZE.min(count), count)
    }
}
