//! Whether a process may serve callers.

use serde::Deserialize;
use serde::Serialize;

/// Whether a process may serve callers, judged by its configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Standing {
    /// Serves no callers: the process can't yet tell whether its version is older than the
    /// one it held before a restart.
    Starting,
    /// Serves callers by the version that it holds.
    Serving,
    /// Serves callers by the version that it holds, but has received no message for a while,
    /// so a newer version may be in force elsewhere.
    ServingAlone,
}

impl Standing {
    /// Whether callers are served.
    pub fn serves(self) -> bool {
        self != Self::Starting
    }
}
