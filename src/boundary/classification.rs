//! Classification of upstreams' responses.

/// Class of an upstream's response, by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Classification {
    /// A failure that the upstream itself reports.
    Failed,
    /// Another process answered at the upstream's address and did not run the request.
    Misdirected,
    /// The upstream states that it did not run the request.
    NotRun,
    /// A response to pass on to the caller.
    Served,
    /// A response that must not reach the caller: it may not be the upstream's own unmodified one,
    /// or promises without proof that the request did not run.
    Untrusted,
}
