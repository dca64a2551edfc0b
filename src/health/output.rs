use serde::Deserialize;
use serde::Serialize;

use crate::health::Digest;
use crate::health::Reason;
use crate::id::UpstreamId;

/// What a judge decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Output {
    /// Takes no work from now on.
    Eject {
        /// What convicted it.
        reason: Reason,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Would have been ejected, and stays.
    Kept {
        /// What spoke against ejecting it.
        reason: Reason,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Takes its full share again.
    Readmit {
        /// A trial passed, or the floor.
        reason: Reason,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Evidence for all other entries that use an upstream in question.
    Share(Digest),
    /// A single failure, told only to the upstream's home entry, where those of
    /// all entries meet. At thousands of upstreams an entry sees each so seldom
    /// that two failures in a row would take it most of a minute.
    Tell {
        /// Evidence on this upstream.
        digest: Digest,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Takes a small share of real load.
    Trial {
        /// Upstream.
        upstream: UpstreamId,
    },
}
