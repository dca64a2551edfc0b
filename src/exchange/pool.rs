use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use super::Leg;

/// Longest a connection may lie idle before it is used again. Something between the two
/// ends may have lost track of it: it then swallows what is sent. State tables between
/// hosts keep idle flows for minutes, not seconds, so that 15 s stays far below.
const IDLE_MAX: Duration = Duration::from_secs(15);
/// Longest a connection is kept at all, so that a fleet's connections move with its subsets.
const AGE_MAX: Duration = Duration::from_secs(300);
/// Idle connections kept an upstream: an entry's share of its slots is below that.
const IDLE_COUNT: usize = 16;

/// Idle connections to upstreams, the last used first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<(Instant, Leg)>>>,
}

impl Pool {
    /// A connection that was just found open and silent, if there is one.
    pub async fn take(&self, address: SocketAddr) -> Option<Leg> {
        while let Some((since, leg)) = self.pop(address) {
            let fresh = since.elapsed() < IDLE_MAX && leg.born().elapsed() < AGE_MAX;
            if fresh && leg.is_quiet().await {
                return Some(leg);
            }
            leg.close();
        }
        None
    }

    /// Keeps a connection whose exchange ended at the exact byte.
    pub fn put(&self, address: SocketAddr, leg: Leg) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let legs = idle.entry(address).or_default();
        legs.retain(|(since, _)| since.elapsed() < IDLE_MAX);
        if legs.len() < IDLE_COUNT {
            legs.push((Instant::now(), leg));
        }
    }

    /// Closes what is idle to an upstream that left.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn pop(&self, address: SocketAddr) -> Option<(Instant, Leg)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }
}
