//! Figures of the spread of configuration.

use std::time::Duration;

/// Figures of a replicator; the defaults are for 520 processes and 3 KB a second each.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time without any message after which a process counts itself as alone:
    /// twelve digest periods, so that losses of 5% can't look like a cut.
    pub alone_after: Duration,
    /// How long a starting process insists on witnesses that serve, before a
    /// single answer will do: a fleet that starts as a whole has none.
    pub cold_wait: Duration,
    /// How long a starting process waits for control before peers will do; longer
    /// than a change needs to reach all, so that the peers know what it knew.
    pub control_wait: Duration,
    /// Mean time between digests: 60 bytes each are 12 bytes a second.
    pub digest_period: Duration,
    /// Processes that get a new version pushed by each one that learned it.
    pub fanout: usize,
    /// Patches up to this size are pushed unasked; larger ones are offered.
    pub push_bytes: usize,
    /// Time between the parts of a push, so that those who have it by then are
    /// left out.
    pub push_gap: Duration,
    /// Processes in one part of a push.
    pub push_width: usize,
    /// Time after which an unanswered request is made again.
    pub retry: Duration,
    /// Peers that must have answered a starting process without control.
    pub witnesses: usize,
    /// Failure domains that those peers must come from.
    pub witness_domains: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            alone_after: Duration::from_secs(60),
            cold_wait: Duration::from_secs(30),
            control_wait: Duration::from_secs(3),
            digest_period: Duration::from_secs(5),
            fanout: 8,
            push_bytes: 1024,
            push_gap: Duration::from_millis(200),
            push_width: 3,
            retry: Duration::from_secs(1),
            witnesses: 3,
            witness_domains: 2,
        }
    }
}
