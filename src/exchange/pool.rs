//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
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
    idle: Mutex<Idle>,
    idle_timeout: Duration,
    max_idle: usize,
}

#[derive(Debug, Default)]
struct Idle {
    /// The connections of an address, the most recently used one last.
    by_address: BTreeMap<SocketAddr, Vec<Kept>>,
    count: usize,
}

/// A connection, and since when it is idle.
type Kept = (Instant, Connection);

impl Idle {
    fn pop(&mut self, address: SocketAddr, max_idle: Duration) -> Option<Kept> {
        let connections = self.by_address.get_mut(&address)?;
        if connections.last()?.0.elapsed() >= max_idle {
            return None;
        }
        self.count -= 1;
        connections.pop()
    }

    fn push(&mut self, address: SocketAddr, kept: Kept) {
        let connections = self.by_address.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(kept);
            self.count += 1;
        }
    }

    fn remove_oldest(&mut self) {
        let idle_since = |connections: &Vec<Kept>| connections.first().map(|kept| kept.0);
        let oldest = self
            .by_address
            .iter()
            .filter_map(|(address, connections)| Some((idle_since(connections)?, *address)))
            .min();
        if let Some(connections) = oldest.and_then(|(_, at)| self.by_address.get_mut(&at)) {
            connections.remove(0);
            self.count -= 1;
        }
    }

    fn remove_all(&mut self, address: SocketAddr) -> Vec<Kept> {
        let removed = self.by_address.remove(&address).unwrap_or_default();
        self.count -= removed.len();
        removed
    }
}

impl Default for Pool {
    /// Keeps idle connections for 15 s. A firewall or NAT on the path may drop its state of an
    /// idle connection and then silently discards what is sent on it. Such tables keep idle
    /// flows for minutes, so 15 s is well below.
    fn default() -> Self {
        Self::new(Duration::from_secs(15), Self::MAX_IDLE)
    }
}

impl Pool {
    /// Most idle connections over all upstreams: a quarter of the descriptors of a process that may
    /// open 4,096.
    pub const MAX_IDLE: usize = 1024;

    /// Creates a pool that keeps idle connections for at most `idle_timeout`, and at most `max_idle`
    /// of them.
    pub fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        Self { idle: Mutex::default(), idle_timeout, max_idle }
    }

    /// Takes a connection that has been idle for less than `max_idle` and, checked just now, is
    /// open with no unexpected bytes on it.
    pub async fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let (since, connection) = self.take_reusable(address, max_idle).await?;
        Some(connection.with_idle_time(since.elapsed()))
    }

    /// Keeps a connection whose last answer was read completely.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        self.keep(address, (Instant::now(), connection));
    }

    /// Whether an idle connection to an upstream is still open. It stays in the pool; closed ones are dropped.
    pub async fn has_open(&self, address: SocketAddr) -> bool {
        let found = self.take_reusable(address, self.idle_timeout).await;
        let is_open = found.is_some();
        found.into_iter().for_each(|kept| self.keep(address, kept));
        is_open
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.lock().count
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes the connections that would not be reused: those that are too old, idle for too long, or
    /// closed by their other end. Connections to an upstream that is gone are not taken again, so
    /// nothing else closes them.
    pub async fn sweep(&self) {
        let addresses: Vec<_> = self.lock().by_address.keys().copied().collect();
        for address in addresses {
            let removed = self.lock().remove_all(address);
            for kept in removed {
                if self.is_reusable(&kept).await {
                    self.keep(address, kept);
                } else {
                    kept.1.close();
                }
            }
        }
    }

    /// Closes all idle connections and returns their number.
    pub fn clear(&self) -> usize {
        std::mem::take(&mut *self.lock()).count
    }

    fn keep(&self, address: SocketAddr, kept: Kept) {
        let mut idle = self.lock();
        idle.push(address, kept);
        if idle.count > self.max_idle {
            idle.remove_oldest();
        }
    }

    async fn take_reusable(&self, address: SocketAddr, max_idle: Duration) -> Option<Kept> {
        while let Some(kept) = self.pop(address, max_idle) {
            if self.is_reusable(&kept).await {
                return Some(kept);
            }
            kept.1.close();
        }
        None
    }

    async fn is_reusable(&self, (since, connection): &Kept) -> bool {
        self.is_fresh(*since, connection) && connection.is_idle().await
    }

    fn is_fresh(&self, since: Instant, connection: &Connection) -> bool {
        let peer_limit = connection
            .idle_limit()
            .map_or(self.idle_timeout, |limit| limit.mul_f64(IDLE_LIMIT_FRACTION));
        since.elapsed() < self.idle_timeout.min(peer_limit)
            && connection.opened_at().elapsed() < MAX_AGE
    }

    fn pop(&self, address: SocketAddr, max_idle: Duration) -> Option<Kept> {
        self.lock().pop(address, max_idle)
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
