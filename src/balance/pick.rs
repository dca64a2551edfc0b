use crate::clock::Moment;
use crate::id::UpstreamId;

/// An upstream chosen for one request, which counts as in flight until it is finished.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Connections that this entry may hold to the upstream, idle ones included.
    pub connections: u32,
    /// Whether it was chosen because it had had no request for some time, and not by its cost.
    pub is_directed: bool,
    /// Must be passed to [`crate::balance::Picker::finish`], whatever the outcome.
    pub ticket: Ticket,
    /// Upstream.
    pub upstream: UpstreamId,
}

/// Identifies a pick when its request completes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Number of the member, in order of announcement.
    pub(crate) member: u64,
    /// Number of the request, in order of picks.
    pub(crate) request: u64,
    /// When it was picked.
    pub(crate) since: Moment,
}
