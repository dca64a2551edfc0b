//! Outcome of a claimed request.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Largest answer that is kept, headers and body together. Confirmations of orders and
/// sign-offs are smaller, and 4 KiB keep a log record within one or two disk pages.
const MAX_KEPT_BYTES: usize = 4096;

/// Answer that is kept for a caller that resends the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    /// Complete body.
    pub body: Vec<u8>,
    /// Header names and values.
    pub headers: Vec<(CompactString, CompactString)>,
}

impl KeptAnswer {
    /// Size in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The upstream answered.
    Ran {
        /// Answer, if small enough to keep.
        answer: Option<KeptAnswer>,
        /// HTTP status.
        status: u16,
    },
    /// The request was dispatched, but no complete answer arrived.
    Unknown,
}

impl Outcome {
    /// Creates the outcome of an answered request; an answer above 4 KiB is not kept.
    pub fn ran(status: u16, answer: Option<KeptAnswer>) -> Self {
        Self::Ran { answer, status }.bounded()
    }

    /// Drops the answer if it is too large.
    pub(super) fn bounded(mut self) -> Self {
        if self.kept_size() > MAX_KEPT_BYTES {
            self.drop_answer();
        }
        self
    }

    /// Size of the kept answer, in bytes.
    pub(super) fn kept_size(&self) -> usize {
        match self {
            Self::Ran { answer: Some(answer), .. } => answer.size(),
            _ => 0,
        }
    }

    /// Drops the answer.
    pub(super) fn drop_answer(&mut self) {
        if let Self::Ran { answer, .. } = self {
            *answer = None;
        }
    }
}
