//! What a process may do with callers.

use serde::Deserialize;
use serde::Serialize;

/// What a process may do with callers, as far as configuration goes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// Takes no callers: it can't yet know that what it holds isn't older than
    /// what it held before its restart.
    Starting,
    /// Takes callers by the version that it holds.
    Serving,
    /// Takes callers by the version that it holds, but has heard from no other
    /// process for a while, so a newer one may be in force elsewhere.
    ServingAlone,
}

impl Standing {
    /// Whether callers are taken.
    pub fn serves(self) -> bool {
        self != Self::Starting
    }
}
