use crate::id::UpstreamId;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Upstreams that it was tried at before.
    pub avoid: &'a [UpstreamId],
    /// Whether its length is the caller's doing, as with an upload; such requests
    /// say nothing by waiting, and stay out of [`crate::balance::Picker::overdue`].
    pub is_long: bool,
}
