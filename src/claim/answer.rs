//! Answer to a caller whose request is not dispatched.

use crate::clock::Epoch;
use crate::id::NodeId;

use super::Outcome;

/// Why a request is not dispatched although the ledger replied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The key was used for a different request.
    Conflict,
    /// The request has already run.
    Done(Outcome),
    /// The request is running.
    InProgress {
        /// Entry that runs it.
        by: NodeId,
        /// When it was granted, by the control leader's clock.
        since: Epoch,
    },
    /// The request may have run; its outcome can't be determined any more.
    Unknown,
}
