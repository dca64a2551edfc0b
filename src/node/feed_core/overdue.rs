//! Requests that wait far longer than usual.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::breaker::Counts;
use crate::id::UpstreamId;

/// A request that has waited this many times as long as usual, and for a second at least,
/// counts as hung: one in a hundred takes five times as long on a sound upstream.
const HUNG: u32 = 4;
const HUNG_MIN: Duration = Duration::from_secs(1);
/// A request that has waited this many times as long as usual is late: one in thirty is so on
/// a sound upstream, but not three at once.
const LATE: f64 = 2.0;
const LATE_MIN: Duration = Duration::from_millis(400);

/// How many requests were late and hung at each upstream when it was last asked.
#[derive(Debug, Default)]
pub(super) struct Overdue {
    counts: BTreeMap<UpstreamId, (usize, usize)>,
}

impl Overdue {
    /// The requests that became late or hung since the last time, each once.
    pub(super) fn count(
        &mut self,
        upstream: &UpstreamId,
        usual: Duration,
        ages: &[Duration],
    ) -> Counts {
        let over = |bar: Duration| ages.iter().filter(|age| **age >= bar).count();
        let late = over(LATE_MIN.max(usual.mul_f64(LATE)));
        let is_hung = HUNG_MIN.max(usual * HUNG);
        let hung = over(is_hung);
        let before = self.counts.insert(upstream.clone(), (late, hung)).unwrap_or_default();
        let newly = hung.saturating_sub(before.1);
        Counts {
            hung: newly as u32,
            overdue: newly as u32,
            late: late.saturating_sub(before.0) as u32,
            waited: newly as u64 * is_hung.as_millis() as u64,
            ..Counts::default()
        }
    }

    /// Forgets an upstream that is gone.
    pub(super) fn forget(&mut self, upstream: &UpstreamId) {
        self.counts.remove(upstream);
    }
}
