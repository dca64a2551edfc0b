use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Ratio;
use super::Yaml;
use crate::quota::Config;

/// Default for `window`: long against a request, short against a working day.
const WINDOW: Duration = Duration::from_secs(5);
/// Longest window that makes sense: entries remember what passed in it.
const WINDOW_MOST: Duration = Duration::from_secs(60);
/// Most requests beyond a limit that may be tolerated.
const TOLERANCE_MOST: f64 = 1e6;

impl Default for Config {
    fn default() -> Self {
        Self { overage: 0.0, tolerance: 0.0, window: WINDOW }
    }
}

impl Config {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["overage", "tolerance", "window"])?;
        Some(Self {
            overage: fields.or("overage", Ratio(0.0)).0,
            tolerance: fields.ranged("tolerance", 0.0, &0.0, &TOLERANCE_MOST),
            window: fields.ranged("window", WINDOW, &Duration::from_secs(1), &WINDOW_MOST),
        })
    }
}
