//! Commands that the quorum log carries for the configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ConfigNumber;
use crate::id::SubmissionId;

use super::Patch;
use super::Version;

/// An operator's submission. Its document is validated before it is proposed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// The submission as a difference from the version that the proposer saw in force.
    /// With whole documents, 1,400 changes a day of 1 MB each would add 1.4 GB to the log.
    Amend(Patch),
    /// The submission with its whole document.
    Submit(Version),
}

impl Command {
    /// Number that the operator gave to the configuration.
    pub fn number(&self) -> ConfigNumber {
        match self {
            Self::Amend(patch) => patch.head.number,
            Self::Submit(version) => version.number,
        }
    }

    /// Idempotency key: a resend with the same id is answered as the first time.
    pub fn submission(&self) -> &SubmissionId {
        match self {
            Self::Amend(patch) => &patch.submission,
            Self::Submit(version) => &version.submission,
        }
    }
}
