//! A control that entries can poll.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::NodeId;

/// A control that entries can poll.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Control {
    /// Failure domain; empty until it is known.
    pub domain: DomainId,
    /// Id, from which the address of its VM follows.
    pub id: NodeId,
}
