//! Parameters of the replication of configuration.

use std::time::Duration;

/// Parameters of a replicator. The defaults suit 520 processes with a budget of 3 KB a
/// second each.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time without any message after which a process considers itself isolated. The default
    /// is twelve digest periods, so that 5% message loss is not mistaken for a partition.
    pub isolation_timeout: Duration,
    /// Time for which a starting process requires answers from peers that serve callers.
    /// After it one answer is enough, because no process serves when the whole fleet starts.
    pub cold_start_wait: Duration,
    /// Time for which a starting process waits for control before it accepts the answers of
    /// other peers. It is longer than a change takes to reach all processes, so that the
    /// peers hold whatever this process held before its restart.
    pub control_wait: Duration,
    /// Mean time between digests. At the default, 60 bytes each make 12 bytes a second.
    pub digest_period: Duration,
    /// Number of peers to which each process that receives a new version pushes it.
    pub fanout: usize,
    /// Largest total size of patches, in bytes, that is pushed unrequested. Larger ones are
    /// offered.
    pub max_push_bytes: usize,
    /// Time between the batches of a push. Peers that are known to have the version by then
    /// are skipped.
    pub push_interval: Duration,
    /// Number of peers in one batch of a push.
    pub push_batch: usize,
    /// Time after which an unanswered request is sent again.
    pub request_timeout: Duration,
    /// Number of serving peers that must have answered before a process starts without
    /// control.
    pub min_serving_answers: usize,
    /// Number of failure domains that those peers must be in.
    pub min_serving_domains: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            isolation_timeout: Duration::from_secs(60),
            cold_start_wait: Duration::from_secs(30),
            control_wait: Duration::from_secs(3),
            digest_period: Duration::from_secs(5),
            fanout: 8,
            max_push_bytes: 1024,
            push_interval: Duration::from_millis(200),
            push_batch: 3,
            request_timeout: Duration::from_secs(1),
            min_serving_answers: 3,
            min_serving_domains: 2,
        }
    }
}
