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
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Start of its process; a later one is another process with the same name.
    #[serde(default)]
    pub incarnation: u64,
    /// Requests that it runs at once; zero counts as one.
    pub slots: u32,
    /// Lifecycle state.
    pub state: State,
    /// Upstream.
    pub upstream: UpstreamId,
}
