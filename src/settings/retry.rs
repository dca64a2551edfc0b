use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Ratio;
use super::Yaml;

/// Default for `share`. With one retry for twenty first tries, a retry storm adds about 5%
/// to the load instead of doubling it.
const DEFAULT_SHARE: Ratio = Ratio(0.05);
/// Default for `burst`.
const DEFAULT_BURST: f64 = 2.0;

/// Default for `window`: long compared with a request, short compared with a fault.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

/// Retry budget for a service: tries beyond the first.
#[derive(Clone, Debug, PartialEq)]
pub struct Retry {
    /// Retries that may be made at once beyond the share, by each entry or, if `pooled`, by all
    /// entries together. May be fractional, as a part of a larger budget.
    pub burst: f64,
    /// Whether all entries share one budget, in which retries after tries that reached no
    /// upstream are free.
    pub pooled: bool,
    /// Retries as a share of first tries.
    pub share: f64,
    /// Sliding window over which a pooled budget is counted.
    pub window: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self { burst: DEFAULT_BURST, pooled: false, share: DEFAULT_SHARE.0, window: DEFAULT_WINDOW }
    }
}

impl Retry {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["burst", "pooled", "share", "window"])?;
        let max = Duration::from_secs(600);
        Some(Self {
            burst: fields.ranged("burst", DEFAULT_BURST, &0.0, &1e6),
            pooled: fields.or_default("pooled", false),
            share: fields.or_default("share", DEFAULT_SHARE).0,
            window: fields.ranged("window", DEFAULT_WINDOW, &Duration::from_secs(1), &max),
        })
    }
}
