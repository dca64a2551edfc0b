//! Steps of a digest comparison (anti-entropy).

use serde::Deserialize;
use serde::Serialize;

/// Key hashes and version hashes of one bucket.
pub(super) type Bucket = (u8, Vec<(u32, u32)>);

/// One step of a comparison of two [`crate::fleet::Digest`]s.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repair {
    /// First step: hash of each bucket.
    Hashes(Vec<u32>),
    /// Second step: records of the answering node in the buckets that differ.
    Versions(Vec<Bucket>),
    /// Third step: key hashes of records that the first node requests.
    Want(Vec<u32>),
}
