//! Responses that the process itself generates, which tell callers whether a request ran.

use std::time::Duration;

use http::HeaderName;
use http::header;

use super::Response;

/// Header of a generated response that tells what happened to the request.
pub const OUTCOME_HEADER: &str = "x-hemlockfield-outcome";
/// Header with the milliseconds to wait before a retry; `retry-after` has whole seconds only.
pub const RETRY_AFTER_MS_HEADER: &str = "x-retry-after-ms";

/// What happened to a request for which there is no upstream's answer to return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran when it was sent before, and its answer was not stored.
    AlreadyRun,
    /// It ran and failed, or its answer was lost. It is idempotent and may be sent again.
    Failed,
    /// It is still running because it was sent before.
    InProgress,
    /// It reached no upstream, or the upstream stated that it did not run it.
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

/// A generated response instead of an upstream's answer, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What happened to the request.
    pub outcome: Outcome,
    /// Reason as text for people.
    pub reason: String,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Status code of the response.
    pub status: u16,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    pub fn new(status: u16, outcome: Outcome, reason: impl Into<String>) -> Self {
        Self { outcome, reason: reason.into(), retry_after: None, status }
    }

    /// Creates a refusal of a request that was not run, with a retry time.
    pub fn not_run(status: u16, reason: impl Into<String>, after: Duration) -> Self {
        Self { retry_after: Some(after), ..Self::new(status, Outcome::NotRun, reason) }
    }
}

/// Builds a generated response with the reason as its body and the retry time in its headers.
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
