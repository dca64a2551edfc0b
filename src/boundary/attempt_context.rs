//! What an upstream is told with a request.

use std::time::Duration;

/// One sending of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The request's name.
    pub id: &'a str,
    /// Time that the upstream has.
    pub remaining: Duration,
    /// The caller's team, where its key proved one.
    pub team: Option<&'a str>,
    /// The upstream that is meant.
    pub upstream: &'a str,
}
