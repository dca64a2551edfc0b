//! What an upstream says of itself.

use serde::Deserialize;
use serde::Serialize;

use crate::registry::Announcement;

/// What an upstream says of itself, and when in its own order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// What it says.
    pub announcement: Announcement,
    /// Counts its announcements up: a late one is known by its lower number.
    pub sequence: u64,
}
