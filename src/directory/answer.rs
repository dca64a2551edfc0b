//! What a caller is told.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Entries in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Where to connect; the first is to be used until it fails.
    pub entries: Vec<SocketAddr>,
    /// How long the answer may be used, in milliseconds.
    pub lifetime_ms: u64,
}

impl Answer {
    /// How long the answer may be used.
    pub fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime_ms)
    }
}
