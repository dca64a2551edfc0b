use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Default for `limit`: the lifetime of handed-out addresses (30 s) must be
/// over before the entry stops, plus the longest usual request.
const LIMIT: Duration = Duration::from_secs(60);

/// Share of `grace` that is used: what is left is for closing files and sockets at a busy
/// moment, before the process is killed.
const USED: f64 = 11.0 / 12.0;
/// Share of `grace` in which callers are still taken: their lists age meanwhile, and the
/// longest usual request fits into the rest.
const NOTICE: f64 = 5.0 / 12.0;

/// How the process ends on SIGTERM. A file may give `grace` instead, the time after which the
/// process is killed; the others follow from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// After this, whatever is in flight is cut and logged.
    pub limit: Duration,
    /// How long callers are still taken, where their lists are too old to wait for.
    pub notice: Option<Duration>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { limit: LIMIT, notice: None }
    }
}

impl Shutdown {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["grace", "limit", "notice"])?;
        let most = Duration::from_secs(3600);
        let optional =
            |name| fields.yaml(name).map(|_| fields.ranged(name, LIMIT, &Duration::ZERO, &most));
        let (grace, limit, notice) = (optional("grace"), optional("limit"), optional("notice"));
        Some(Self {
            limit: limit.or(grace.map(|grace| grace.mul_f64(USED))).unwrap_or(LIMIT),
            notice: notice.or(grace.map(|grace| grace.mul_f64(NOTICE))),
        })
    }
}
