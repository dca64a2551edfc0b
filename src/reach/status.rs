//! What is known of a path, for the log.

/// What is known of the path of an entry to a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Status {
    /// Whether it is lost.
    pub is_lost: bool,
    /// Upstreams that were reached since it was lost.
    pub proofs: usize,
    /// Upstreams that could not be reached since a connection opened last.
    pub unreached: usize,
}
