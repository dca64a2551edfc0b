use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Ratio;
use super::Yaml;

/// Default for `share`: one try in twenty keeps a storm of retries from doubling any load.
const SHARE: Ratio = Ratio(0.05);
/// Default for `burst`, of each entry.
const BURST: f64 = 2.0;

/// Default for `window`: long against a request, short against a fault.
const WINDOW: Duration = Duration::from_secs(10);

/// How many tries beyond the first all entries together may make for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Retry {
    /// Tries at once beyond the share; of each entry, or of all where `pooled`. May have a
    /// fraction: the share of a larger budget.
    pub burst: f64,
    /// Whether `burst` is shared by all entries, and tries that reached no upstream cost
    /// nothing.
    pub pooled: bool,
    /// Tries beyond the first, as a share of the first ones.
    pub share: f64,
    /// Span over which a pooled budget is counted.
    pub window: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self { burst: BURST, pooled: false, share: SHARE.0, window: WINDOW }
    }
}

impl Retry {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["burst", "pooled", "share", "window"])?;
        let most = Duration::from_secs(600);
        Some(Self {
            burst: fields.ranged("burst", BURST, &0.0, &1e6),
            pooled: fields.or("pooled", false),
            share: fields.or("share", SHARE).0,
            window: fields.ranged("window", WINDOW, &Duration::from_secs(1), &most),
        })
    }
}
