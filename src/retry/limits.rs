use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How many retries a policy allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Whether a retry is free after an attempt that sent nothing to an upstream.
    pub free_connects: bool,
    /// Retries allowed in addition to `share`: the saved tokens, or the burst of a window.
    pub most: f64,
    /// Retries per first attempt.
    pub share: f64,
    /// Window over which attempts are counted. Without it a token bucket is used.
    #[serde(default)]
    pub window: Option<Duration>,
}

impl Limits {
    /// Part of the fleet's burst that the entries use at most, because an entry that has just joined
    /// or left is counted late.
    const USABLE_BURST: f64 = 0.9;

    /// Limits of one entry, out of what all entries may spend together. In any `window` all entries
    /// retry at most `share` of their first attempts plus `burst`, of which this one has a `part`.
    pub fn per_entry(share: f64, burst: f64, window: Duration, part: f64) -> Self {
        let most = Self::USABLE_BURST * burst * part;
        Self { free_connects: true, most, share, window: Some(window) }
    }
}
