use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Default for `limit`: the 30 s for which callers may use a list of entries, plus the longest
/// usual request.
const DEFAULT_LIMIT: Duration = Duration::from_secs(60);

/// Share of `grace` that becomes `limit`. The rest is for closing files and sockets under load
/// before the process is killed.
const LIMIT_SHARE_OF_GRACE: f64 = 11.0 / 12.0;
/// Share of `grace` that becomes `notice`. Callers' lists of entries expire meanwhile, and the
/// longest usual request fits into the rest.
const NOTICE_SHARE_OF_GRACE: f64 = 5.0 / 12.0;

/// Graceful shutdown on SIGTERM. A file may instead set `grace`, the time after which the
/// process is killed; `limit` and `notice` are then derived from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// Time after which requests in flight are aborted and logged.
    pub limit: Duration,
    /// Time for which new requests are still expected. If unset, they are expected until every
    /// list of entries that names this process has expired.
    pub notice: Option<Duration>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { limit: DEFAULT_LIMIT, notice: None }
    }
}

impl Shutdown {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["grace", "limit", "notice"])?;
        let max = Duration::from_secs(3600);
        let optional = |name| {
            fields.yaml(name).map(|_| fields.ranged(name, DEFAULT_LIMIT, &Duration::ZERO, &max))
        };
        let (grace, limit, notice) = (optional("grace"), optional("limit"), optional("notice"));
        Some(Self {
            limit: limit
                .or(grace.map(|grace| grace.mul_f64(LIMIT_SHARE_OF_GRACE)))
                .unwrap_or(DEFAULT_LIMIT),
            notice: notice.or(grace.map(|grace| grace.mul_f64(NOTICE_SHARE_OF_GRACE))),
        })
    }
}
