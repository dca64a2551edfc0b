use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::health::Digest;
use crate::health::Kind;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// Input of a [`crate::health::Monitor`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Input {
    /// Another entry's recent evidence.
    Digest(Digest),
    /// An upstream left: its record is dropped and the floor is checked at once.
    Gone {
        /// Upstream that left.
        upstream: UpstreamId,
    },
    /// An upstream was announced, or its slots or domain changed.
    Member {
        /// Failure domain that it runs in.
        domain: DomainId,
        /// Requests it runs at once, its weight in the floor. 0 counts as 1.
        slots: u32,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// A request ended.
    Outcome {
        /// How it ended.
        kind: Kind,
        /// Time from the last byte of the request to the first byte of the answer.
        /// Report no outcome for jobs whose length the caller decides.
        latency: Duration,
        /// Upstream that it was sent to.
        upstream: UpstreamId,
    },
    /// Ages of the requests that still wait for their first byte, sent just before
    /// a tick. Replaces the previous ages of this upstream.
    Pending {
        /// Time that each has waited.
        ages: Vec<Duration>,
        /// Upstream that they were sent to.
        upstream: UpstreamId,
    },
    /// The upstream's health report about itself, which may lag or be wrong.
    Report {
        /// Whether it reports itself healthy.
        healthy: bool,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Time has passed. Due every [`crate::health::Config::TICK`].
    Tick,
}
