use serde::Deserialize;
use serde::Serialize;

/// What a caller is told about a request that isn't retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Answer {
    /// The request failed. The upstream's own response is passed on, if there is one; otherwise an
    /// idempotent request gets an error.
    Failed,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, and the caller must not be told otherwise.
    Unknown,
}
