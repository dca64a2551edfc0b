//! Answer to a caller.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// List of entries in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Addresses to connect to. The first is to be used until it fails.
    pub entries: Vec<SocketAddr>,
    /// Time for which the answer is valid, in milliseconds.
    pub lifetime_ms: u64,
}

impl Answer {
    /// Time for which the answer is valid.
    pub fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime_ms)
    }
}
