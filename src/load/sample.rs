use std::time::Duration;

use compact_str::CompactString;

/// Outcome of one request, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The complete answer to this request, or word that it already ran.
    Answer,
    /// An answer that was visibly cut off.
    Cut,
    /// The request failed and may be resent.
    Failed,
    /// No answer: the connection failed or the time ran out.
    Nothing,
    /// The request was not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The body of another request, or a truncated body that looked complete.
    Wrong,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number of times that the request was sent.
    pub attempts: u32,
    /// Its idempotency key.
    pub key: Option<CompactString>,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// Time from the scheduled start to the end.
    pub latency: Duration,
    /// Scheduled start, from the start of the load.
    pub start: Duration,
    /// Outcome of the last send.
    pub outcome: Outcome,
}
