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

/// Evidence on one upstream, in quarters of a nat, which travel as a byte or two
/// each; positive speaks against it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Item {
    /// Whether the sender puts the upstream in question, which asks the others for
    /// theirs. The home entry may do so without having seen the upstream itself.
    pub asks: bool,
    /// Signed sums by aspect (failing, silent, slow) and by window, as in
    /// [`crate::health::Evidence::WINDOWS`].
    pub sums: [[i16; 5]; 3],
    /// Upstream.
    pub upstream: UpstreamId,
}

impl Item {
    /// Units in a nat: fine enough that one success shows.
    pub const UNITS: f64 = 4.0;
}
