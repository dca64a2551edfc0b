use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Ratio;
use super::Yaml;
use crate::quota::Config;

/// Default for `window`: long compared with a request, short compared with a working day.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);
/// Longest window. Entries keep in memory what they admitted within it.
const MAX_WINDOW: Duration = Duration::from_secs(60);
/// Largest number of requests that may be tolerated beyond a limit.
const MAX_TOLERANCE: f64 = 1e6;

impl Default for Config {
    fn default() -> Self {
        Self { overage: 0.0, tolerance: 0.0, window: DEFAULT_WINDOW }
    }
}

impl Config {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["overage", "tolerance", "window"])?;
        Some(Self {
            overage: fields.or_default("overage", Ratio(0.0)).0,
            tolerance: fields.ranged("tolerance", 0.0, &0.0, &MAX_TOLERANCE),
            window: fields.ranged("window", DEFAULT_WINDOW, &Duration::from_secs(1), &MAX_WINDOW),
        })
    }
}
