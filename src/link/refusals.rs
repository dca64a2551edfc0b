//! Refused connections.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::Refusal;
use super::endpoint::wall_clock;

/// Number of recent refusals that operators see.
const MAX_RECENT: usize = 16;

/// Refused connections: the peer had a wrong, expired or foreign certificate, or its handshake
/// failed or timed out.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    count: u64,
    recent: VecDeque<Refusal>,
}

impl Refusals {
    /// Logs and records a refusal.
    pub(super) fn record(&mut self, address: SocketAddr, reason: String) {
        tracing::warn!(%address, reason, "refused a link");
        self.count += 1;
        self.recent.push_back(Refusal { address, at: wall_clock(), reason });
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    /// Returns the number of refusals since the start.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Returns the most recent refusals, oldest first.
    pub(super) fn recent(&self) -> Vec<Refusal> {
        self.recent.iter().cloned().collect()
    }
}
