//! One numbered configuration and its short form.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::id::ConfigNumber;
use crate::id::SubmissionId;

/// Number and document hash of a version: enough to compare two processes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Head {
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// XXH3 of the document; finds damage and a split, not forgery, since links
    /// between our processes are authenticated.
    pub hash: u64,
}

/// Configuration with its document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Text as the operator submitted it.
    pub document: Arc<str>,
    /// Number that the operator gave it.
    pub number: ConfigNumber,
    /// Submission that it came with.
    pub submission: SubmissionId,
}

impl Version {
    /// Version of a document.
    pub fn new(number: ConfigNumber, submission: SubmissionId, document: &str) -> Self {
        Self { document: Arc::from(document), number, submission }
    }

    /// Its short form; reads the whole document.
    pub fn head(&self) -> Head {
        Head { hash: xxh3_64(self.document.as_bytes()), number: self.number }
    }
}
