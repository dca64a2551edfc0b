//! Identities of claims and of the slots that they claim.

use serde::Deserialize;
use serde::Serialize;

use crate::id::CallerId;
use crate::id::Incarnation;
use crate::id::Key;
use crate::id::NodeId;
use crate::id::ServiceId;

/// Longest text in a slot, in bytes, so that a ledger of 60,000 keys stays within its
/// memory even if callers choose long keys.
const MAX_TEXT_BYTES: usize = 200;

/// Number that the exchange of an entry gives a request.
pub type Ticket = u64;

/// Identity of one claim. It is never reused, so a claim can be resent safely.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId {
    /// Entry that claims.
    pub entry: NodeId,
    /// Process of the entry; another process doesn't know what this one dispatched.
    pub incarnation: Incarnation,
    /// Number within the process.
    pub sequence: u64,
}

/// What is claimed: a caller's key for a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Slot {
    /// Caller or team that the key belongs to, so that equal keys of two callers are
    /// independent.
    pub caller: CallerId,
    /// Idempotency key chosen by the caller.
    pub key: Key,
    /// Service that the request is for.
    pub service: ServiceId,
}

impl Slot {
    /// Whether all texts are short enough for the ledger. A request with a longer key is
    /// the caller's mistake and is refused before it is claimed.
    pub fn is_valid(&self) -> bool {
        [&self.caller, &self.key, &self.service].iter().all(|text| text.len() <= MAX_TEXT_BYTES)
    }
}
