use serde::Deserialize;
use serde::Serialize;

use super::Demand;
use crate::id::Incarnation;
use crate::id::NodeId;

/// A change of the ledger, as it is stored in the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// An entry demands other allocations.
    Ask(Demand),
    /// This incarnation of an entry has ended or is presumed to have.
    End(NodeId, Incarnation),
    /// Frees the allocations of an ended incarnation: the requests that it passed are out of
    /// every window.
    Release(NodeId, Incarnation),
}
