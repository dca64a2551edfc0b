use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::health::Digest;
use crate::health::Kind;
use crate::id::DomainId;
use crate::id::UpstreamId;

/// What a judge is told.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Input {
    /// Another entry's recent evidence.
    Digest(Digest),
    /// The upstream left; its past is forgotten and the floor checked at once.
    Gone {
        /// Upstream that left.
        upstream: UpstreamId,
    },
    /// An upstream was announced, or announced other figures.
    Member {
        /// Failure domain it runs in.
        domain: DomainId,
        /// Requests it runs at once: the weight in the floor. Nought counts as one.
        slots: u32,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// A request ended.
    Outcome {
        /// How it ended.
        kind: Kind,
        /// From the last byte of the request to the first byte of the answer.
        /// Give no outcome for jobs whose length the caller decides.
        latency: Duration,
        /// Upstream that it was sent to.
        upstream: UpstreamId,
    },
    /// Ages of requests that still wait for a first byte, sent just before a
    /// tick; replaces what an earlier one said.
    Pending {
        /// Time each has waited.
        ages: Vec<Duration>,
        /// Upstream they were sent to.
        upstream: UpstreamId,
    },
    /// The upstream's own word, which lags or misleads.
    Report {
        /// What it says of itself.
        healthy: bool,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Time went on. Due every [`crate::health::Setup::TICK`].
    Tick,
}
