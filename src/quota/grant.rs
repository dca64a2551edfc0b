use serde::Deserialize;
use serde::Serialize;

use super::Subject;
use crate::id::Incarnation;

/// Answer to a demand: the allocations that the entry holds from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// Whether that incarnation is presumed to have ended. The entry then holds nothing and
    /// continues with a new incarnation.
    pub is_over: bool,
    /// One for each item of the demand.
    pub parts: Vec<Allocation>,
    /// Sequence number of the demand.
    pub sequence: u64,
}

/// The allocation of one allowance that an entry holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allocation {
    /// Requests within any window.
    pub amount: u32,
    /// Requests that an entry may hold beyond its need, for uneven load.
    pub spare: u32,
    /// What the allowance is for.
    pub subject: Subject,
}
