//! What became of a claimed request.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Largest answer kept, head and body together: a sign-off or an order is
/// confirmed in less, and 4 KiB keep a log record within one disk page or two.
const KEPT_LIMIT: usize = 4096;

/// Answer kept for a caller that lost it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    /// Body, whole.
    pub body: Vec<u8>,
    /// Header names and values.
    pub headers: Vec<(CompactString, CompactString)>,
}

impl KeptAnswer {
    /// Bytes that it takes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// What became of a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The upstream answered.
    Ran {
        /// Its answer, where that is small enough.
        answer: Option<KeptAnswer>,
        /// HTTP status.
        status: u16,
    },
    /// It was dispatched, and no whole answer came back.
    Unknown,
}

impl Outcome {
    /// Outcome of an answered request; an answer above 4 KiB is not kept.
    pub fn ran(status: u16, answer: Option<KeptAnswer>) -> Self {
        Self::Ran { answer, status }.bounded()
    }

    /// The same outcome, without its answer if that is too large.
    pub(super) fn bounded(mut self) -> Self {
        if self.kept_size() > KEPT_LIMIT {
            self.forget_answer();
        }
        self
    }

    /// Bytes of the kept answer.
    pub(super) fn kept_size(&self) -> usize {
        match self {
            Self::Ran { answer: Some(answer), .. } => answer.size(),
            _ => 0,
        }
    }

    /// The same outcome without its answer.
    pub(super) fn forget_answer(&mut self) {
        if let Self::Ran { answer, .. } = self {
            *answer = None;
        }
    }
}
