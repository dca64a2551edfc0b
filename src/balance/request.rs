use crate::id::UpstreamId;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Upstreams that it was already tried at.
    pub avoid: &'a [UpstreamId],
    /// Whether it can be sent again elsewhere if an upstream loses it.
    pub is_repeatable: bool,
    /// Whether the caller determines its duration, as with an upload. Such a request says nothing
    /// by waiting, and is left out of [`crate::balance::Picker::overdue`].
    pub is_long: bool,
}
