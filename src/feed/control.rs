//! A control that entries may ask.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::NodeId;

/// A control that entries may ask.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Control {
    /// Its failure domain; empty where it is not known yet.
    pub domain: DomainId,
    /// Its id, which names its VM's address.
    pub id: NodeId,
}
