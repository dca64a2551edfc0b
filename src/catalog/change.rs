//! Announcement of an upstream, with its sequence number.

use serde::Deserialize;
use serde::Serialize;

use crate::registry::Announcement;

/// An announcement of an upstream and its position among those of the same upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Content of the announcement.
    pub announcement: Announcement,
    /// Number that grows with each announcement, by which a late one is recognised.
    pub sequence: u64,
}
