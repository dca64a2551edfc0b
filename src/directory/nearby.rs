//! Entries for callers that balance over them on their own.

use std::net::SocketAddr;

use super::Entry;
use crate::fleet::State;

/// Fewest entries in the caller's failure domain for which only these are returned. With fewer, the
/// loss of one would double the load of another.
const MIN_LOCAL_ENTRIES: usize = 3;
/// Most entries that are returned. Callers use no more.
const MAX_ENTRIES: usize = 64;

/// Returns entries for a caller in `domain` that chooses one at random for each connection.
///
/// These are the entries in its own failure domain if there are enough, so that requests do not
/// cross failure domains without need, and all entries otherwise.
pub fn nearby(domain: &str, entries: &[Entry]) -> Vec<SocketAddr> {
    let serving = || entries.iter().filter(|entry| entry.state == State::Serving && !entry.suspect);
    let local: Vec<SocketAddr> =
        serving().filter(|entry| entry.domain == domain).map(|entry| entry.address).collect();
    if local.len() >= MIN_LOCAL_ENTRIES {
        return local.into_iter().take(MAX_ENTRIES).collect();
    }
    serving().map(|entry| entry.address).take(MAX_ENTRIES).collect()
}
