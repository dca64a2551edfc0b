//! Starts of upstreams that the table holds to be over, but that go on announcing themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Change;
use crate::clock::Moment;
use crate::id::Incarnation;
use crate::id::UpstreamId;

/// Shortest time between two announcements that show that an upstream is alive. Those that were held
/// up arrive together, while a live upstream sends its announcements further apart than this.
const PACE: Duration = Duration::from_secs(1);
/// Time for which an announcement is remembered: several intervals between announcements.
const MEMORY: Duration = Duration::from_secs(30);
/// Most upstreams remembered, several times the planned number of restarts at once.
const UPSTREAMS_MAX: usize = 10_000;

/// Starts of upstreams that the table holds to be over, but that go on announcing themselves.
///
/// **Failure.** A departure or a takeover is read late and ends a start that it was not about: the
/// upstream is alive, every announcement of it is held to be old, and it never gets a request again.
///
/// **How.** A second announcement at the pace of a live upstream brings it back. Late announcements of
/// a start that is over don't: they arrive together.
#[derive(Debug, Default)]
pub struct Returns {
    heard: BTreeMap<UpstreamId, Heard>,
}

/// The first announcement of a start since it was held to be over.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Moment,
    incarnation: Incarnation,
    sequence: u64,
}

impl Returns {
    /// Records an announcement that the table holds to be old. Returns whether its sender is alive.
    pub fn hear(&mut self, now: Moment, change: &Change) -> bool {
        self.heard.retain(|_, heard| now < heard.at + MEMORY);
        let upstream = &change.announcement.upstream;
        let incarnation = change.announcement.incarnation;
        let first = self.heard.get(upstream).filter(|heard| heard.incarnation == incarnation);
        let Some(first) = first else {
            if self.heard.len() < UPSTREAMS_MAX {
                let heard = Heard { at: now, incarnation, sequence: change.sequence };
                self.heard.insert(upstream.clone(), heard);
            }
            return false;
        };
        let is_alive = change.sequence > first.sequence && now >= first.at + PACE;
        if is_alive {
            self.heard.remove(upstream);
        }
        is_alive
    }

    /// Forgets all announcements.
    pub fn clear(&mut self) {
        self.heard.clear();
    }
}
