//! Entry of the replicated log.

use serde::Deserialize;
use serde::Serialize;

use super::membership::Membership;
use crate::id::Index;
use crate::id::Term;

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Payload {
    /// No-op; a new leader appends one so that entries of older terms can commit.
    Blank,
    /// Membership in force from the moment this entry is appended.
    Change(Membership),
    /// Command, encoded by the application.
    Command(Vec<u8>),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size on the wire, in bytes.
    pub(super) fn size(&self) -> usize {
        match &self.payload {
            Payload::Blank => Self::OVERHEAD,
            Payload::Change(membership) => Self::OVERHEAD * (1 + membership.len()),
            Payload::Command(command) => Self::OVERHEAD + command.len(),
        }
    }

    /// Index, term, tag and length of a command as postcard varints, rounded up.
    const OVERHEAD: usize = 24;
}
