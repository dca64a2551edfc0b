//! Load that an entry is sized for.

use serde::Deserialize;
use serde::Serialize;

/// Requests per second for each core. Half of what a core can serve, which leaves headroom for
/// a surge. With fewer entries, each sees sooner which upstreams are busy, and fewer entries
/// lose a request of their own at an upstream that fails.
const REQUESTS_PER_CORE: f64 = 300.0;
/// Share of its network link that an entry is sized to use. An upload occupies the link until it
/// is complete, and callers spread unevenly. At a mean of 38%, the busiest entries answered
/// seconds late, upstreams were ejected for it, and a third of all requests was refused while
/// four fifths of the slots were idle. At 18%, none of this happens.
const LINK_SHARE: f64 = 0.2;
/// Bytes in one megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Load that an entry is sized for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Capacity {
    /// Bytes per second of bodies, in one direction.
    pub bytes: u64,
    /// Requests per second.
    pub requests: u32,
}

impl Default for Capacity {
    /// Capacity of a tenth of a core and an unlimited link.
    fn default() -> Self {
        Self::new(0.1, None)
    }
}

impl Capacity {
    /// Creates the capacity of a process from its CPU cores and its link in Mbit/s, if known.
    pub fn new(cores: f64, link: Option<f64>) -> Self {
        let bytes = link.map_or(u64::MAX, |link| (link * BYTES_PER_MEGABIT * LINK_SHARE) as u64);
        Self { bytes: bytes.max(1), requests: ((cores * REQUESTS_PER_CORE) as u32).max(1) }
    }

    /// Returns the share of a load that an entry with this capacity can carry, 1 or more if it
    /// can carry all of it.
    pub fn share(&self, load: Load) -> f64 {
        let requests = f64::from(self.requests) / load.requests.max(f64::MIN_POSITIVE);
        requests.min(self.bytes as f64 / load.bytes.max(f64::MIN_POSITIVE))
    }
}

/// Traffic of all callers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Bytes per second of requests and answers.
    pub bytes: f64,
    /// Requests per second.
    pub requests: f64,
}
