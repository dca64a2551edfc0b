use serde::Deserialize;
use serde::Serialize;

use crate::id::NodeId;
use crate::id::UpstreamId;

/// One entry's recent evidence on upstreams that somebody suspects.
///
/// Sums are signed, and entries that see the upstream well send theirs too, or
/// else only the unlucky would speak and a sound upstream be convicted by them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Entry that saw it.
    pub from: NodeId,
    /// One for each upstream in question.
    pub items: Vec<Item>,
}

/// Evidence on one upstream, in nats; positive speaks against it. Arrays go over
/// the windows of [`crate::health::Evidence::WINDOWS`], shortest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Sums over failures and successes.
    pub failing: [f32; 3],
    /// Sums over latencies, with requests still waiting.
    pub slow: [f32; 3],
    /// Upstream.
    pub upstream: UpstreamId,
}
