//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use super::Connection;

/// Age after which a connection is no longer reused, so that connections follow changes in which
/// upstreams an entry uses.
const MAX_AGE: Duration = Duration::from_secs(300);
/// Most idle connections kept for one upstream; an entry's share of an upstream's slots is
/// smaller.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Fraction of an upstream's announced idle timeout during which a connection is reused. The
/// upstream starts to count before the answer arrives here, so the full timeout is not safe.
const IDLE_LIMIT_FRACTION: f64 = 0.8;

/// Idle connections by address; the most recently used one is taken first.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Connection)>>>,
    idle_timeout: Duration,
}

impl Default for Pool {
    /// Keeps idle connections for 15 s. A firewall or NAT on the path may drop its state of an
    /// idle connection and then silently discards what is sent on it. Such tables keep idle
    /// flows for minutes, so 15 s is well below.
    fn default() -> Self {
        Self::new(Duration::from_secs(15))
    }
}

impl Pool {
    /// Creates a pool that keeps idle connections for at most `idle_timeout`.
    pub fn new(idle_timeout: Duration) -> Self {
        Self { idle: Mutex::default(), idle_timeout }
    }

    /// Takes a connection that has been idle for less than `max_idle` and, checked just now, is
    /// open with no unexpected bytes on it.
    pub async fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        while let Some((since, connection)) = self.pop(address, max_idle) {
            if self.is_fresh(since, &connection) && connection.is_idle().await {
                return Some(connection.with_idle_time(since.elapsed()));
            }
            connection.close();
        }
        None
    }

    /// Keeps a connection whose last answer was read completely.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        self.keep(address, Instant::now(), connection);
    }

    /// Whether an idle connection to an upstream is still open. It stays in the pool; closed ones are dropped.
    pub async fn has_open(&self, address: SocketAddr) -> bool {
        while let Some((since, connection)) = self.pop(address, self.idle_timeout) {
            if self.is_fresh(since, &connection) && connection.is_idle().await {
                self.keep(address, since, connection);
                return true;
            }
            connection.close();
        }
        false
    }

    /// Drops all connections to an upstream that was removed.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Keeps a connection that is idle since `since`.
    fn keep(&self, address: SocketAddr, since: Instant, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connections.retain(|(since, connection)| self.is_fresh(*since, connection));
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push((since, connection));
        }
    }

    fn is_fresh(&self, since: Instant, connection: &Connection) -> bool {
        let peer_limit = connection
            .idle_limit()
            .map_or(self.idle_timeout, |limit| limit.mul_f64(IDLE_LIMIT_FRACTION));
        since.elapsed() < self.idle_timeout.min(peer_limit)
            && connection.opened_at().elapsed() < MAX_AGE
    }

    fn pop(&self, address: SocketAddr, max_idle: Duration) -> Option<(Instant, Connection)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        if connections.last()?.0.elapsed() >= max_idle {
            return None;
        }
        connections.pop()
    }
}
