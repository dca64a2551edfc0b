use std::collections::BTreeSet;
use std::time::Duration;

use super::service_time::ServiceTime;
use crate::clock::Moment;

/// Statistics of the short requests, or of the long ones, of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct DurationClass {
    pub(super) service_time: ServiceTime,
    pub(super) running: BTreeSet<(Moment, u64)>,
    pub(super) waiting: usize,
}

impl DurationClass {
    /// Expected service time: the recent mean, or the median age of the running requests if that is
    /// longer. The age reveals a slow upstream before its first slow response arrives.
    pub(super) fn expected_service_time(&self, now: Moment) -> Duration {
        let median = self.running.iter().nth(self.running.len() / 2);
        let age = median.map_or(Duration::ZERO, |entry| now.saturating_sub(entry.0));
        self.service_time.mean().max(age)
    }
}
