use serde::Deserialize;
use serde::Serialize;

use crate::id::NodeId;
use crate::id::UpstreamId;

/// One entry's recent evidence on upstreams that some entry suspects.
///
/// Sums are signed. Entries that get good answers from the upstream send theirs
/// too: if only entries with failures reported, they would eject a sound upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// Entry that collected the evidence.
    pub from: NodeId,
    /// One for each upstream.
    pub items: Vec<Item>,
}

/// Evidence on one upstream, in quarters of a nat, which take one or two bytes
/// each when encoded. Positive values are evidence against the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Whether the sender suspects the upstream and asks the others for their
    /// evidence. The home entry may do so without having used the upstream itself.
    pub asks: bool,
    /// Signed sums by fault (failing, silent, slow) and by window, in the order of
    /// [`crate::health::Evidence::WINDOWS`].
    pub sums: [[i16; 5]; 3],
    /// Upstream.
    pub upstream: UpstreamId,
}

impl Item {
    /// Units in a nat: fine enough that one success isn't rounded to zero.
    pub const UNITS: f64 = 4.0;
}
