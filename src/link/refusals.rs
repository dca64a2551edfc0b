//! Connections that were refused.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::Refusal;
use super::endpoint::wall_clock;

/// Refusals kept for operators.
const KEPT: usize = 16;

/// Connections that were refused: a wrong, expired or foreign certificate, or a
/// handshake that did not end.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    count: u64,
    last: VecDeque<Refusal>,
}

impl Refusals {
    /// Notes one.
    pub(super) fn note(&mut self, address: SocketAddr, reason: String) {
        tracing::warn!(%address, reason, "link refused");
        self.count += 1;
        self.last.push_back(Refusal { address, at: wall_clock(), reason });
        if self.last.len() > KEPT {
            self.last.pop_front();
        }
    }

    /// Refused since the start.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// The last few.
    pub(super) fn last(&self) -> Vec<Refusal> {
        self.last.iter().cloned().collect()
    }
}
