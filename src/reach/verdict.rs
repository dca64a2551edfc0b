//! What an entry reports of its path to a service.

use serde::Deserialize;
use serde::Serialize;

/// What an entry reports of its path to the upstreams of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// It can't open connections to them.
    Lost,
    /// It has opened a connection to one of them just now. Reported only where a control asks.
    Reached,
}
