//! Peers of a replicator.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DomainId;
use crate::id::NodeId;

/// Another process that configuration is exchanged with, as known from membership.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Peer {
    /// Whether it is a control replica.
    pub control: bool,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its name.
    pub id: NodeId,
}
