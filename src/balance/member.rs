use serde::Deserialize;
use serde::Serialize;

use crate::balance::State;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// An upstream as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Connections that it accepts from all entries together.
    pub connections: u32,
    /// Failure domain it runs in.
    pub domain: DomainId,
    /// Requests it runs at once. Nought counts as one.
    pub slots: u32,
    /// Where it is in its life.
    pub state: State,
    /// Upstream.
    pub upstream: UpstreamId,
}
