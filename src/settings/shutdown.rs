use std::time::Duration;

use super::Fields;
use super::Mistakes;
use super::Tree;

/// Default for `limit`: the lifetime of handed-out addresses (30 s) must be
/// over before the entry stops, plus the longest usual request.
const LIMIT: Duration = Duration::from_secs(60);

/// How the process ends on SIGTERM.
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
    pub(super) fn read(tree: &Tree, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(tree, mistakes, &["limit", "notice"])?;
        let most = Duration::from_secs(3600);
        let notice =
            fields.tree("notice").map(|_| fields.ranged("notice", LIMIT, &Duration::ZERO, &most));
        Some(Self { limit: fields.ranged("limit", LIMIT, &Duration::ZERO, &most), notice })
    }
}
