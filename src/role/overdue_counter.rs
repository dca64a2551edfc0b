//! Counts requests that have waited far longer than usual.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::breaker::Counts;
use crate::id::UpstreamId;

/// A request counts as hung after this multiple of the service's median latency. On a healthy
/// upstream one request in a hundred takes five times as long.
const HUNG_FACTOR: u32 = 4;
/// Shortest wait after which a request counts as hung.
const HUNG_MIN: Duration = Duration::from_secs(1);
/// A request counts as late after this multiple of the service's median latency. On a healthy
/// upstream one request in thirty is late, but not three at once.
const LATE_FACTOR: f64 = 2.0;
/// Shortest wait after which a request counts as late.
const LATE_MIN: Duration = Duration::from_millis(400);

/// Counts pending requests that become late or hung, each once.
#[derive(Debug, Default)]
pub(super) struct OverdueCounter {
    /// Late and hung requests of each upstream at the last count.
    counts: BTreeMap<UpstreamId, (usize, usize)>,
}

impl OverdueCounter {
    /// Counts the requests that became late or hung since the last call; `ages` are the waits of
    /// all pending requests.
    pub(super) fn count(
        &mut self,
        upstream: &UpstreamId,
        median_latency: Duration,
        ages: &[Duration],
    ) -> Counts {
        let late_after = LATE_MIN.max(median_latency.mul_f64(LATE_FACTOR));
        let late = ages.iter().filter(|age| **age >= late_after).count();
        let hung_after = HUNG_MIN.max(median_latency * HUNG_FACTOR);
        let mut hung: Vec<Duration> =
            ages.iter().copied().filter(|age| *age >= hung_after).collect();
        hung.sort_unstable();
        let before = self.counts.insert(upstream.clone(), (late, hung.len())).unwrap_or_default();
        hung.truncate(hung.len().saturating_sub(before.1));
        let newly_hung = hung.len() as u32;
        Counts {
            hung: newly_hung,
            overdue: newly_hung,
            late: late.saturating_sub(before.0) as u32,
            waited: hung.iter().sum::<Duration>().as_millis() as u64,
            ..Counts::default()
        }
    }

    /// Removes an upstream that has left.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.counts.remove(upstream);
    }
}
