//! Entries for callers that choose among them by themselves.

use std::net::SocketAddr;

use super::Entry;
use crate::fleet::State;

/// Fewest entries in a caller's own failure domain for it to be told of those alone: with
/// fewer, the loss of one would double the load of the others.
const FEWEST: usize = 3;
/// Most entries that are told: callers look at no more.
const MOST: usize = 64;

/// Entries for a caller in `domain` that draws one of them for each connection.
///
/// Those in its own failure domain where there are enough, so that nothing crosses a border
/// that need not; all entries otherwise.
pub fn nearby(domain: &str, entries: &[Entry]) -> Vec<SocketAddr> {
    let serving = || entries.iter().filter(|entry| entry.state == State::Serving && !entry.suspect);
    let near: Vec<SocketAddr> =
        serving().filter(|entry| entry.domain == domain).map(|entry| entry.address).collect();
    if near.len() >= FEWEST {
        return near.into_iter().take(MOST).collect();
    }
    serving().map(|entry| entry.address).take(MOST).collect()
}
