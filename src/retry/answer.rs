use serde::Deserialize;
use serde::Serialize;

/// What a caller is told when a request is not tried again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Answer {
    /// It failed: the upstream's own answer is handed on, or, for an
    /// idempotent request, that there is none.
    Failed,
    /// It was certainly not run.
    NotRun,
    /// It may have run; the caller must not be told otherwise.
    Unknown,
}
