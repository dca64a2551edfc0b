//! Context of one attempt to send a request to an upstream.

use std::time::Duration;

/// Context of one attempt to send a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Time left for the upstream to answer.
    pub remaining: Duration,
    /// The caller's team, if its API key proves one.
    pub team: Option<&'a str>,
    /// Id of the selected upstream.
    pub upstream: &'a str,
}
