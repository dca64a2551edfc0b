//! A numbered configuration and its head.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::ConfigNumber;
use crate::id::SubmissionId;

/// Number and document hash of a version, by which processes compare what they hold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Head {
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// XXH3 of the document. It detects damage and two documents under one number. It need
    /// not detect forgery, since links between processes are authenticated.
    pub hash: u64,
}

/// A numbered configuration with its document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Text as submitted by the operator.
    pub document: Arc<str>,
    /// Number that the operator gave it.
    pub number: ConfigNumber,
    /// Submission that brought it.
    pub submission: SubmissionId,
}

impl Version {
    /// Creates a version.
    pub fn new(number: ConfigNumber, submission: SubmissionId, document: &str) -> Self {
        Self { document: Arc::from(document), number, submission }
    }

    /// Number and hash of the version. Hashes the whole document.
    pub fn head(&self) -> Head {
        Head { hash: xxh3_64(self.document.as_bytes()), number: self.number }
    }
}
