//! What the quorum log carries for the configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::SubmissionId;

use super::Patch;
use super::Version;

/// Submission of an operator; the document was checked before it was proposed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// As a difference from the version that the proposer saw in force: 1,400
    /// changes of a 1 MB document a day would be 1.4 GB of log otherwise.
    Amend(Patch),
    /// With its whole document.
    Submit(Version),
}

impl Command {
    /// Number that the operator gave.
    pub fn number(&self) -> ConfigNumber {
        match self {
            Self::Amend(patch) => patch.head.number,
            Self::Submit(version) => version.number,
        }
    }

    /// Id that makes a resend safe.
    pub fn submission(&self) -> &SubmissionId {
        match self {
            Self::Amend(patch) => &patch.submission,
            Self::Submit(version) => &version.submission,
        }
    }
}
