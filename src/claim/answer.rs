//! What a caller learns of a request that another claim holds.

use crate::clock::Epoch;
use crate::id::NodeId;

use super::Outcome;

/// Why a request is not dispatched, though the ledger could be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The key stands for another request.
    Conflict,
    /// It ran already.
    Done(Outcome),
    /// It is being run.
    InProgress {
        /// Entry that runs it.
        by: NodeId,
        /// Since when, by the control leader's clock.
        since: Epoch,
    },
    /// It may have run; nobody can tell any more.
    Unknown,
}
