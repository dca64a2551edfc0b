use serde::Deserialize;
use serde::Serialize;

/// How one request to an upstream ended, as far as health is concerned.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// No connection could be established.
    ConnectFailed,
    /// The answer ended before its declared end.
    Cut,
    /// The upstream's documented not-run refusal: it sheds load. Says nothing
    /// about health, as a full upstream is a sound one.
    Refused,
    /// The upstream answered with a status of 500 or above that is no refusal.
    ServerError,
    /// The connection stood, and nothing came within the first-byte limit.
    Silent,
    /// A whole answer.
    Success,
    /// The answer began and did not end before the deadline.
    Timeout,
}

impl Kind {
    /// Whether this outcome counts against the upstream.
    #[must_use]
    pub fn is_failure(self) -> bool {
        !matches!(self, Self::Refused | Self::Success)
    }
}
