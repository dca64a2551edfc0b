//! How much an entry is meant to carry.

use serde::Deserialize;
use serde::Serialize;

/// Requests a second for each core: half of what one serves, so that a surge finds room.
/// The fewer entries there are, the sooner each sees which upstreams are busy, and the fewer
/// lose a request of their own at one that turns bad.
const PER_CORE: f64 = 300.0;
/// Share of its link that an entry is meant to use. An upload holds the link for as long as it
/// takes to pass, and callers spread unevenly: at 38% on average the fullest entries answered
/// seconds late, which upstreams were then taken out for, and a third of all requests was
/// refused although four fifths of the slots were idle. At 18% none of that was seen.
const LINK_USE: f64 = 0.2;
/// Bytes of one megabit.
const MEGABIT: f64 = 125_000.0;

/// How much an entry is meant to carry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Room {
    /// Bytes a second, bodies in one direction.
    pub bytes: u64,
    /// Requests a second.
    pub requests: u32,
}

impl Default for Room {
    /// A tenth of a core, and a link that never binds.
    fn default() -> Self {
        Self::new(0.1, None)
    }
}

impl Room {
    /// Room of a process with this share of a core, and a link of so many Mbit/s if it is known.
    pub fn new(cores: f64, link: Option<f64>) -> Self {
        let bytes = link.map_or(u64::MAX, |link| (link * MEGABIT * LINK_USE) as u64);
        Self { bytes: bytes.max(1), requests: ((cores * PER_CORE) as u32).max(1) }
    }

    /// Share of a load that an entry with this room can carry; 1 or more where it can carry
    /// all of it.
    pub fn share(&self, load: Load) -> f64 {
        let requests = f64::from(self.requests) / load.requests.max(f64::MIN_POSITIVE);
        requests.min(self.bytes as f64 / load.bytes.max(f64::MIN_POSITIVE))
    }
}

/// What all callers together send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Bytes a second of requests and answers.
    pub bytes: f64,
    /// Requests a second.
    pub requests: f64,
}
