//! What an upstream's answer is worth.

/// What an upstream's answer is worth, by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Classification {
    /// A failure that is the upstream's own answer.
    Failed,
    /// Another process answers at the upstream's address, and has not run the request.
    Misdirected,
    /// The upstream documents that it has not run the request.
    NotRun,
    /// The answer to pass on.
    Served,
    /// Not the upstream's own whole answer, and no proof that the request did not run.
    Untrusted,
}
