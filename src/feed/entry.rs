//! What an entry says of itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::State;
use crate::id::DomainId;
use crate::id::NodeId;

/// What an entry says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Its id.
    pub id: NodeId,
    /// Whether it takes callers.
    pub state: State,
}
