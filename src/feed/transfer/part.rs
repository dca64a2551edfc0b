//! Messages of a transfer.

use serde::Deserialize;
use serde::Serialize;

use super::ChangeId;

/// Announces a change and contains its first bytes, which may be all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offer {
    /// The change.
    pub change: ChangeId,
    /// Its first bytes.
    pub start: Vec<u8>,
}

impl Offer {
    /// Whether the offer contains the whole change.
    pub fn is_complete(&self) -> bool {
        self.start.len() >= self.change.size as usize
    }
}

/// An entry requests a part of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The change.
    pub change: ChangeId,
    /// Number of bytes that the entry has.
    pub offset: u32,
}

/// A part of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Bytes from `offset` on; `None` if the control can't make this change.
    pub bytes: Option<Vec<u8>>,
    /// The change.
    pub change: ChangeId,
    /// Position of the first byte.
    pub offset: u32,
}
