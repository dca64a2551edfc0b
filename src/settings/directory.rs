use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Default for `lifetime`: callers ask again twice a minute, so 1,000 callers
/// cost 33 requests a second, and a lost entry is off every list within 30 s.
const LIFETIME: Duration = Duration::from_secs(30);

/// What callers are told about the entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
    /// How long a caller may keep an answer.
    pub lifetime: Duration,
}

impl Default for Directory {
    fn default() -> Self {
        Self { lifetime: LIFETIME }
    }
}

impl Directory {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["lifetime"])?;
        let least = Duration::from_millis(100);
        let most = Duration::from_secs(3600);
        Some(Self { lifetime: fields.ranged("lifetime", LIFETIME, &least, &most) })
    }
}
