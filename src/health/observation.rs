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
    /// Set if the request was a trial.
    pub trial: Option<Trial>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// A request that tested whether an ejected upstream has recovered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trial {
    /// Whether the request could be sent again elsewhere.
    pub is_repeatable: bool,
}
