//! Answers of our own, which say what became of a request.

use std::time::Duration;

use http::HeaderName;
use http::header;

use super::Response;

/// Says of an answer that is ours, not an upstream's, what became of the request.
pub const OUTCOME_HEADER: &str = "x-hemlockfield-outcome";
/// When to come back, finer than `retry-after`, which counts whole seconds.
pub const RETRY_AFTER_MS_HEADER: &str = "x-retry-after-ms";

/// What became of a request that has no answer of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran when it was sent before; its answer is not kept.
    AlreadyRun,
    /// It ran and failed, or its answer was lost; being idempotent, it may be sent again.
    Failed,
    /// It is being run, by an earlier sending.
    InProgress,
    /// It reached no upstream, or the upstream documented that it did not run it.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

impl Outcome {
    /// Value of [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AlreadyRun => "already-run",
            Self::Failed => "failed",
            Self::InProgress => "in-progress",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// A request that gets no upstream's answer, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What became of the request.
    pub outcome: Outcome,
    /// For people.
    pub reason: String,
    /// When the caller should come back.
    pub retry_after: Option<Duration>,
    /// Status of the answer.
    pub status: u16,
}

impl Refusal {
    /// One that names no time to come back.
    pub fn new(status: u16, outcome: Outcome, reason: impl Into<String>) -> Self {
        Self { outcome, reason: reason.into(), retry_after: None, status }
    }

    /// One of a request that was not run, with a time to come back.
    pub fn not_run(status: u16, reason: impl Into<String>, after: Duration) -> Self {
        Self { retry_after: Some(after), ..Self::new(status, Outcome::NotRun, reason) }
    }
}

/// An answer of ours, with the reason as text and when to come back.
pub fn refuse(
    status: u16,
    outcome: Outcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response {
    let mut response = Response::new(status);
    response.set_header(HeaderName::from_static(OUTCOME_HEADER), outcome.as_str());
    response.body = format!("{reason}\n").into();
    if let Some(after) = retry_after {
        let seconds = after.as_millis().div_ceil(1000).max(1);
        response.set_header(header::RETRY_AFTER, seconds.to_string());
        let name = HeaderName::from_static(RETRY_AFTER_MS_HEADER);
        response.set_header(name, after.as_millis().to_string());
    }
    response
}
