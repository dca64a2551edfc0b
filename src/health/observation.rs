//! How an upstream handled one request.

use std::time::Duration;

use super::Kind;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// How an upstream handled one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observation {
    /// How the request ended.
    pub kind: Kind,
    /// Time from its start until the answer's head or its end.
    pub latency: Duration,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Whether the request was a trial of an upstream that is out.
    pub is_trial: bool,
    /// The upstream.
    pub upstream: UpstreamId,
}
