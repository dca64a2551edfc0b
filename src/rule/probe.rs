use std::time::Duration;

use compact_str::CompactString;

use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Tree;

/// Default for `path`.
const PATH: &str = "/health";
/// Default for `interval`: a probe takes about 25 ms of an upstream, so that
/// one a second costs one of four slots 2.5% of its time, or 0.6% of the whole.
const INTERVAL: Duration = Duration::from_secs(1);

/// How an upstream is asked for its own report, which may lag or mislead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Time between probes by the upstream's home entry.
    pub interval: Duration,
    /// Path that is asked for.
    pub path: CompactString,
}

impl Default for Probe {
    fn default() -> Self {
        Self { interval: INTERVAL, path: PATH.into() }
    }
}

impl Probe {
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["interval", "path"])?;
        let least = Duration::from_millis(100);
        let most = Duration::from_secs(300);
        let interval = fields.ranged("interval", INTERVAL, &least, &most);
        let path: CompactString = fields.or("path", PATH.into());
        if !path.starts_with('/') {
            let text = format!("`{path}` is not a path; write one such as `/health`");
            mistakes.add(fields.line_of("path"), text);
        }
        Some(Self { interval, path })
    }
}
