use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Default for `lifetime`. Callers ask again twice a minute, so 1,000 callers cost 33 requests
/// a second, and a failed entry is off every caller's list within 30 s.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(30);

/// Settings of the directory of entries that callers ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
    /// Time for which a caller may use an answer.
    pub lifetime: Duration,
}

impl Default for Directory {
    fn default() -> Self {
        Self { lifetime: DEFAULT_LIFETIME }
    }
}

impl Directory {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["lifetime"])?;
        let min = Duration::from_millis(100);
        let max = Duration::from_secs(3600);
        Some(Self { lifetime: fields.ranged("lifetime", DEFAULT_LIFETIME, &min, &max) })
    }
}
