use crate::clock::Moment;
use crate::id::UpstreamId;

/// An upstream chosen for one request, which counts as in flight from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Connections that this entry may hold to the upstream, idle ones included.
    pub connections: u32,
    /// To be handed back to [`crate::balance::Picker::finish`] whatever happens.
    pub ticket: Ticket,
    /// Upstream.
    pub upstream: UpstreamId,
}

/// What ends a pick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Member, numbered by announcement.
    pub(crate) member: u64,
    /// Request, numbered by pick.
    pub(crate) request: u64,
    /// When it was picked.
    pub(crate) since: Moment,
}
