//! What registries send each other.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Repair;
use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Change;
use crate::registry::Standing;

/// One message; encoded, it fits a datagram of 1,100 bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// News of upstreams.
    Changes(Vec<Change>),
    /// The receiver renewed an upstream that the sender does not know so.
    Missing(UpstreamId),
    /// An upstream renewed its lease at the sender; the receiver is its home.
    Renew {
        /// Its incarnation.
        incarnation: Incarnation,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Step of a comparison of digests.
    Repair(Repair),
    /// States of upstreams that the receiver should know.
    Standings(Vec<Standing>),
    /// Digest of all that the sender knows.
    Summary(u32),
}
