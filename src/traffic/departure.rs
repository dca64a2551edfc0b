//! What a process that leaves may still hand on.

use std::time::Duration;

use crate::clock::Moment;

use super::Proxy;
use super::job::Job;

/// Retry-after of a request that this process would not finish. Other entries can take it at once.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(50);
/// What its caller is told.
pub(super) const REASON: &str = "this entry leaves and would not finish the request";

impl Proxy {
    /// Whether a request with this deadline can still be finished here, if it takes as long as usual.
    /// Once connections close, only one that ends before this process does, whatever it takes.
    pub(super) fn can_finish(&self, deadline: Moment, usual: Duration) -> bool {
        let Some(end) = self.ends_at().filter(|end| deadline > *end) else { return true };
        !self.is_closed() && self.now() + usual <= end
    }

    /// Whether a job can still be finished here, see [`Self::can_finish`].
    pub(super) fn can_finish_job(&self, job: &Job) -> bool {
        self.ends_at().is_none() || {
            let usual = self.service(&job.service).usual_latency(self.now());
            self.can_finish(job.deadline, usual)
        }
    }

    /// Completes once a request with this deadline can't be finished here, if that comes.
    pub(super) async fn unfinishable(&self, deadline: Moment) {
        self.closed().await;
        if self.can_finish(deadline, Duration::ZERO) {
            futures::future::pending::<()>().await;
        }
    }
}
