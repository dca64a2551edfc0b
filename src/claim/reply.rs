//! What the ledger answers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Epoch;
use crate::id::NodeId;

use super::Outcome;

/// Answer to one action.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The claim is given up; it can't be granted any more, the key can.
    Abandoned,
    /// The key stands for another request.
    Conflict,
    /// The request ran already.
    Done(Outcome),
    /// The outcome is recorded.
    Finished,
    /// The ledger has no room for new keys; nothing was run.
    Full {
        /// When to try again.
        retry_after: Duration,
    },
    /// There is no such claim; nothing was changed.
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
    /// The start of the process is noted.
    Started,
    /// It may have run: its entry died or never told.
    Unknown {
        /// Entry that held it.
        by: NodeId,
        /// When it was granted, by the leader's clock.
        since: Epoch,
    },
}
