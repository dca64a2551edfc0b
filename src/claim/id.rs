//! What names a claim, and what is claimed.

use serde::Deserialize;
use serde::Serialize;

use crate::id::CallerId;
use crate::id::Incarnation;
use crate::id::Key;
use crate::id::NodeId;
use crate::id::ServiceId;

/// Number that the exchange gives a request at its entry.
pub type Ticket = u64;

/// Names one attempt to claim a key; never used twice, so a resend is safe.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId {
    /// Entry that claims.
    pub entry: NodeId,
    /// Its process: another one can't answer for what this one dispatched.
    pub incarnation: Incarnation,
    /// Number within the process.
    pub sequence: u64,
}

/// What can be claimed: a caller's key for a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Slot {
    /// Caller or team that the key belongs to, so that equal keys of two callers
    /// have nothing to do with each other.
    pub caller: CallerId,
    /// Key that the caller chose.
    pub key: Key,
    /// Service that the request is for.
    pub service: ServiceId,
}
