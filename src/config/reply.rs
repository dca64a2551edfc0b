//! Replies to submissions.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::SubmissionId;

use super::Head;

/// Result of applying one command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Accepted, now or when the same submission was first received.
    Accepted(Head),
    /// The patch can't be applied, so the proposer has to send the whole document.
    /// Operators never receive this reply.
    Rebase,
    /// Refused because the number is not above the one in force.
    Refused {
        /// Number in force.
        number: ConfigNumber,
        /// Submission in force.
        submission: SubmissionId,
    },
    /// Refused because the submission id was accepted before with this other number or
    /// document.
    Reused(Head),
}
