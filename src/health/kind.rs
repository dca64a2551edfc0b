use serde::Deserialize;
use serde::Serialize;

/// How one request to an upstream ended, as far as it matters for health.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// No connection could be established.
    ConnectFailed,
    /// The answer ended before its declared length.
    Cut,
    /// The upstream shed load with its documented not-run refusal. No evidence
    /// either way, as a full upstream is a sound one.
    Refused,
    /// The upstream answered with a status of 500 or above that is no refusal.
    ServerError,
    /// A connection was established, and no byte came within the first-byte limit.
    Silent,
    /// A complete answer.
    Success,
    /// The answer began and did not end before the deadline.
    Timeout,
}

impl Kind {
    /// Whether this outcome is evidence against the upstream.
    #[must_use]
    pub fn is_failure(self) -> bool {
        !matches!(self, Self::Refused | Self::Success)
    }
}
