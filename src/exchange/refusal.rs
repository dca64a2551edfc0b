use std::time::Duration;

use http_types::Body;
use http_types::Response;
use http_types::StatusCode;

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

/// An answer of ours, with the reason as text and when to come back.
pub fn refuse(
    status: u16,
    outcome: Outcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::ServiceUnavailable);
    let mut response = Response::new(status);
    response.insert_header(OUTCOME_HEADER, outcome.as_str());
    response.set_body(Body::from_string(format!("{reason}\n")));
    if let Some(after) = retry_after {
        let seconds = after.as_millis().div_ceil(1000).max(1);
        response.insert_header("retry-after", seconds.to_string());
        response.insert_header(RETRY_AFTER_MS_HEADER, after.as_millis().to_string());
    }
    response
}
