use std::time::Duration;

use compact_str::CompactString;

/// What a caller was told of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Told {
    /// Its own answer, whole.
    Answer,
    /// An answer that visibly broke off.
    Cut,
    /// That it failed, and may be sent again.
    Failed,
    /// Nothing: the connection failed, or time ran out.
    Nothing,
    /// That it was not run.
    NotRun,
    /// That it may or may not have run.
    Unknown,
    /// Somebody else's answer, or half of one that looked whole.
    Wrong,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Times it was sent.
    pub attempts: u32,
    /// Its idempotency key.
    pub key: Option<CompactString>,
    /// Place of its kind in the plan.
    pub kind: usize,
    /// From when it was to start until the end.
    pub latency: Duration,
    /// When it was to start.
    pub start: Duration,
    /// What the caller was told last.
    pub told: Told,
}
