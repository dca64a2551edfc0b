//! Snapshot of the application's state.

use serde::Deserialize;
use serde::Serialize;

use super::membership::Membership;
use crate::id::Index;
use crate::id::Term;

/// Application's state that replaces a prefix of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// State, encoded by the application.
    pub bytes: Vec<u8>,
    /// Last index it covers.
    pub index: Index,
    /// Membership at `index`.
    pub membership: Membership,
    /// Term at `index`.
    pub term: Term,
}
