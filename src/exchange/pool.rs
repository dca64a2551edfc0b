//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use super::Connection;

/// Longest a connection is kept at all, so that a fleet's connections move with its subsets.
const AGE_MAX: Duration = Duration::from_secs(300);
/// Idle connections kept an upstream: an entry's share of its slots is below that.
const IDLE_COUNT: usize = 16;
/// Share of the idle time that an upstream names after which it is no longer relied on: its
/// clock started earlier than ours by the answer's way.
const SAFE: f64 = 0.8;

/// Idle connections to upstreams, the last used first.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Connection)>>>,
    idle_max: Duration,
}

impl Default for Pool {
    /// Keeps connections for 15 s: something between the two ends may have lost track of one
    /// that lies idle, and then swallows what is sent. State tables between hosts keep idle
    /// flows for minutes, not seconds, so that 15 s stays far below.
    fn default() -> Self {
        Self::new(Duration::from_secs(15))
    }
}

impl Pool {
    /// Keeps connections that lie idle for at most `idle_max`.
    pub fn new(idle_max: Duration) -> Self {
        Self { idle: Mutex::default(), idle_max }
    }

    /// A connection that was just found open and silent, if there is one that has been
    /// idle for less than `newer`.
    pub async fn take(&self, address: SocketAddr, newer: Duration) -> Option<Connection> {
        while let Some((since, connection)) = self.pop(address, newer) {
            if self.is_fresh(since, &connection) && connection.is_quiet().await {
                return Some(connection.rested(since.elapsed()));
            }
            connection.close();
        }
        None
    }

    /// Keeps a connection whose exchange ended at the exact byte.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connections.retain(|(since, connection)| self.is_fresh(*since, connection));
        if connections.len() < IDLE_COUNT {
            connections.push((Instant::now(), connection));
        }
    }

    /// Drops the connections of an upstream that is gone.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn is_fresh(&self, since: Instant, connection: &Connection) -> bool {
        let told = connection.idle_limit().map_or(self.idle_max, |limit| limit.mul_f64(SAFE));
        since.elapsed() < self.idle_max.min(told) && connection.born().elapsed() < AGE_MAX
    }

    fn pop(&self, address: SocketAddr, newer: Duration) -> Option<(Instant, Connection)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        if connections.last()?.0.elapsed() >= newer {
            return None;
        }
        connections.pop()
    }
}
