//! Messages between registries.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Repair;
use crate::id::Incarnation;
use crate::id::UpstreamId;
use crate::registry::Change;
use crate::registry::StateChange;

/// Message between registries. Encoded, it fits a datagram of 1,100 bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Changes of upstreams.
    Changes(Vec<Change>),
    /// Requests the record of an upstream that the sender lacks in the incarnation or revision
    /// that the receiver named.
    Missing(UpstreamId),
    /// An upstream renewed its lease at the sender. The receiver is its home.
    Renew {
        /// Incarnation of the upstream.
        incarnation: Incarnation,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Step of a digest comparison (anti-entropy).
    Repair(Repair),
    /// Current states of upstreams, sent when one drains.
    Standings(Vec<StateChange>),
    /// Root hash of the digest over all records of the sender.
    Summary(u32),
}
