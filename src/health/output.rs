use serde::Deserialize;
use serde::Serialize;

use crate::health::Digest;
use crate::health::Reason;
use crate::id::UpstreamId;

/// Output of a [`crate::health::Monitor`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Output {
    /// The upstream gets no requests from now on.
    Eject {
        /// Fault that was detected.
        reason: Reason,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// A fault was detected, but the upstream stays in service.
    Kept {
        /// Why it was not ejected.
        reason: Reason,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets its full share again.
    Readmit {
        /// A trial passed, or the floor requires it.
        reason: Reason,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// Evidence for all other entries that use a suspected upstream.
    Share(Digest),
    /// Weak evidence, such as a single failure, for the upstream's home entry,
    /// which adds up that of all entries. With thousands of upstreams an entry uses
    /// each so rarely that two failures in a row would take most of a minute.
    Tell {
        /// Evidence on this upstream.
        digest: Digest,
        /// Upstream.
        upstream: UpstreamId,
    },
    /// The upstream gets a small share of real requests.
    Trial {
        /// Upstream.
        upstream: UpstreamId,
    },
}
