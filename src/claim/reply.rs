//! Reply of the ledger.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;
use crate::id::NodeId;

use super::Outcome;

/// Reply of the ledger to one action.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The claim is abandoned and can't be granted any more; its key is free.
    Abandoned,
    /// The key was used for a different request.
    Conflict,
    /// The request has already run.
    Done(Outcome),
    /// The outcome is recorded.
    Finished,
    /// The ledger is full for new keys; nothing was run.
    Full {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// No change: the claim doesn't exist, or is settled and can't be abandoned.
    Gone,
    /// The entry may dispatch.
    Granted,
    /// Another claim holds the key.
    InProgress {
        /// Entry that holds it.
        by: NodeId,
        /// When it was granted, by the leader's clock.
        since: Epoch,
    },
    /// The start of the process is recorded.
    Started,
    /// The request may have run: the entry crashed or never reported an outcome.
    Unknown {
        /// Entry that held it.
        by: NodeId,
        /// When it was granted, by the leader's clock.
        since: Epoch,
    },
}
