use std::time::Duration;

use compact_str::CompactString;

use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Yaml;

/// Default for `path`.
const DEFAULT_PATH: &str = "/health";
/// Default for `interval`. A probe occupies an upstream for about 25 ms: once a
/// second, that is 2.5% of one slot, or 0.6% of an upstream with four slots.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(1);

/// Health check by which upstreams report their own state. The report may be late or wrong.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Time between probes, which are sent by the upstream's home entry.
    pub interval: Duration,
    /// Path of the request.
    pub path: CompactString,
}

impl Default for Probe {
    fn default() -> Self {
        Self { interval: DEFAULT_INTERVAL, path: DEFAULT_PATH.into() }
    }
}

impl Probe {
    /// Reads the `probe` field of a service.
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["interval", "path"])?;
        let min = Duration::from_millis(100);
        let max = Duration::from_secs(300);
        let interval = fields.ranged("interval", DEFAULT_INTERVAL, &min, &max);
        let path: CompactString = fields.or_default("path", DEFAULT_PATH.into());
        if !path.starts_with('/') {
            let text = format!("`{path}` is not a path; write one such as `/health`");
            mistakes.add(fields.line_of("path"), text);
        }
        Some(Self { interval, path })
    }
}
