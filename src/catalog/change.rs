//! Announcement of an upstream, with its sequence number.

use serde::Deserialize;
use serde::Serialize;

use crate::registry::Announcement;
use crate::registry::Life;

/// An announcement of an upstream and its position among those of the same upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Content of the announcement.
    pub announcement: Announcement,
    /// Number that grows with each announcement, by which a late one is recognised.
    pub sequence: u64,
}

impl Change {
    /// Position in the life of the upstream.
    pub fn life(&self) -> Life {
        Life {
            incarnation: self.announcement.incarnation,
            revision: 0,
            state: self.announcement.state,
            sequence: self.sequence,
        }
    }
}
