//! What an operator is told about a submission.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::SubmissionId;

use super::Head;

/// Answer to one command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// In force from now on, or was when the same submission came first.
    Accepted(Head),
    /// The patch could not be applied; the proposer sends the whole document.
    /// An operator never sees this one.
    Rebase,
    /// Not accepted: the number is not above the one in force.
    Refused {
        /// Number in force.
        number: ConfigNumber,
        /// Submission that brought it.
        submission: SubmissionId,
    },
    /// Not accepted: the submission id stands for another number or document.
    Reused(Head),
}
