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
    /// Evidence for the other entries that use this service.
    Share(Digest),
    /// Takes a small share of real load.
    Trial {
        /// Upstream.
        upstream: UpstreamId,
    },
}
