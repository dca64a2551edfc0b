//! What names a claim, and what is claimed.

use serde::Deserialize;
use serde::Serialize;

use crate::id::CallerId;
use crate::id::Incarnation;
use crate::id::Key;
use crate::id::NodeId;
use crate::id::ServiceId;

/// Longest text in a slot; with 60,000 keys, the ledger stays within its memory
/// also when a caller's keys are long.
const TEXT_LIMIT: usize = 200;

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

impl Slot {
    /// Whether the ledger takes it; a request with a longer key is the caller's
    /// mistake, and is refused before it is claimed.
    pub fn is_valid(&self) -> bool {
        [&self.caller, &self.key, &self.service].iter().all(|text| text.len() <= TEXT_LIMIT)
    }
}
